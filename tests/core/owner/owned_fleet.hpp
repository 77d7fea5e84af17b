#pragma once

#include "core/membership/fault_plan.hpp"
#include "core/owner/owner_engine.hpp"
#include "core/ownership/live_view.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace snipemill::test {

// A fleet whose hosts own upstreams and send queries to them. Views follow
// each host's own member list, so that hosts disagree on owners while faults
// last. Upstreams count what they run, whoever has sent it.
class owned_fleet
{
public:
    struct options
    {
        std::uint64_t seed = 0;
        std::uint32_t data_centres = 2;
        std::uint32_t hosts_each = 3;
        std::uint32_t services = 2; // with one upstream in each data centre
        std::uint32_t slots = 4;
    };

    explicit owned_fleet(options const& o);

    fleet& members() { return fleet_; }
    void run_for(duration d);

    // Requests that an upstream runs, by the host that has sent them.
    std::map<std::size_t, std::uint32_t> running(upstream_id id) const;
    std::vector<upstream_id> upstreams() const;
    std::uint32_t slots() const { return options_.slots; }
    // Dispatched so far.
    std::uint64_t dispatched() const { return dispatched_; }
    // Largest number of requests that one host had in flight at an upstream.
    std::uint32_t most_by_one_host() const { return most_by_one_host_; }

private:
    // A request at an upstream.
    struct job
    {
        std::size_t host = 0;
        std::uint32_t life = 0; // of the host
        slot_handle handle;
        upstream_id upstream;
        time_point ends{};
        bool ended = false; // at the upstream; the host may not know yet
        bool cancelled = false;
    };

    // A message that waits while its receiver is paused.
    struct query
    {
        std::size_t to = 0;
        std::uint32_t life = 0;
        time_point deadline{};
        query_batch batch;
    };

    struct owner
    {
        std::unique_ptr<owner_engine> engine;
        std::shared_ptr<routing_view const> view;
        time_point next_view{};
        std::uint32_t life = 0;
        std::uint64_t incarnation = 0;
    };

    static constexpr duration step = from_ms(5);
    // How often a host looks for changes of its member list.
    static constexpr duration view_check = from_ms(50);
    // Views that the control plane publishes are at least this far apart.
    static constexpr duration view_interval = from_ms(500);
    // A root sends to the second owner when the first is silent for this time.
    static constexpr duration silence = from_ms(300);
    static constexpr duration deadline = from_ms(200);

    bool awake(std::size_t i) const;
    void follow_life(std::size_t i);
    void renew_view(std::size_t i);
    void send_queries(std::size_t i);
    void send_query(std::size_t root, topology_index u);
    std::optional<std::size_t> find_host(host_id const& id) const;
    bool silent(std::size_t i) const;
    void deliver();
    void end_jobs();
    void report_jobs();
    void act(std::size_t i);
    void start(std::size_t i, slot_handle handle, upstream_id u);
    void cancel(std::size_t i, slot_handle handle);
    void report_status(std::size_t i, upstream_id u);

    options options_;
    fleet fleet_;
    rng random_;
    std::shared_ptr<topology const> config_;
    std::vector<owner> owners_;
    std::vector<time_point> paused_since_;
    std::vector<query> queries_;
    std::list<job> jobs_;
    owner_actions out_;
    peer_handle next_peer_ = 1;
    std::uint64_t dispatched_ = 0;
    std::uint32_t most_by_one_host_ = 0;
};

} // namespace snipemill::test
