#pragma once

#include "app/forward/forward_metrics.hpp"
#include "app/forward/forward_snapshot.hpp"
#include "core/rollouts/rollout_run.hpp"
#include "core/rollouts/version_policy.hpp"
#include "ports/store_port.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace snipemill {

using rollout_message = std::variant<rollout_report, rollout_instruction>;

// Carries out rollouts on the control thread of a host: follows the entries of
// the store, tells the traffic thread which versions to use, passes its
// counters on, and decides when it is this host's turn.
class rollout_control
{
public:
    struct options
    {
        store_port* store = nullptr;
        std::string host; // name of this host
        rollout_bounds bounds;
    };
    // How the control reaches the rest of the host. Before the first snapshot.
    struct links
    {
        // New shares, with the target versions to count, by service.
        std::function<void(version_shares, std::map<std::string, std::string>)>
            publish;
        // Calls back with this host's reports.
        std::function<void(std::function<void(std::vector<rollout_report>)>)>
            collect;
        std::function<void(fleet_host const&, rollout_message const&)> send;
    };

    rollout_control(boost::asio::io_context& io, options o);
    rollout_control(rollout_control const&) = delete;
    rollout_control& operator=(rollout_control const&) = delete;

    void connect(links l) { links_ = std::move(l); }
    // What the store lists; sets the versions of the snapshot.
    void on_snapshot(forward_snapshot& snapshot,
                     std::vector<rollout_entry> entries);
    // From another host.
    void on_message(rollout_message const& message);
    // This host is about to stop and decides no more.
    void stop();
    void report(forward_metrics& metrics) const;

private:
    void update_runs(std::vector<rollout_entry> const& entries, time_point now);
    rollout_run make_run(rollout_entry const& entry, time_point ordered_at);
    static time_point order_time(rollout_entry const& entry, time_point now);
    void write(rollout_entry const& entry, std::uint64_t revision,
               rollout_status status);
    void instruct(rollout_instruction const& message);
    void follow(rollout_instruction const& message);
    void pass_on(std::vector<rollout_report> reports);
    rollout_surroundings surroundings(rollout_run const& run) const;
    std::map<std::string, std::string> targets() const;
    fleet_host const* find_host(std::string const& name) const;
    void publish_if_changed();
    void arm();
    void on_timer();
    bool active() const;

    options options_;
    links links_;
    std::uint64_t incarnation_; // of this process
    version_policy policy_;
    std::map<std::string, rollout_run> runs_; // by service
    std::vector<upstream_record> upstreams_;
    std::vector<fleet_host> hosts_;
    version_shares published_;
    std::map<std::string, std::string> published_targets_;
    boost::asio::steady_timer timer_;
    bool armed_ = false;
    bool stopped_ = false;
    std::uint64_t reports_sent_ = 0;
    std::uint64_t instructions_sent_ = 0;
    std::uint64_t status_writes_ = 0;
    std::uint64_t status_writes_failed_ = 0;
};

} // namespace snipemill
