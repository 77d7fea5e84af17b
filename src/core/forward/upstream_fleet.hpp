#pragma once

#include "core/base/rng.hpp"
#include "core/forward/manifest.hpp"
#include "core/forward/upstream_view.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipemill {

struct upstream_fleet_settings
{
    std::string host;        // name of this host
    std::string data_centre; // of this host
    // An upstream in another data centre counts as this much slower, because
    // bytes between data centres cost and take longer.
    double remote_penalty = 0.6;
    // A failing upstream counts as this much slower per share of failures.
    double failure_penalty = 8;
    // Silence with a request open that makes others preferred: above the
    // usual latency of a request and below the pauses of upstreams (100 ms).
    duration suspect_after = from_ms(30);
    // Silence after which only a new connection shows that it is alive: above
    // the longest pause of an upstream (150 ms).
    duration unreachable_after = from_ms(300);
    // Silent upstreams of one data centre, with no answer from it meanwhile,
    // that put all of it under suspicion.
    std::uint32_t suspect_upstreams = 3;
    std::uint32_t max_connections = 6; // of this host to one upstream
};

// How the hosts of a fleet share upstreams.
struct fleet_sharing
{
    // Hosts that share the connections and cold rates of an upstream.
    double hosts = 8;
    // Hosts that send to shards; 0: all do.
    double relays = 0;
    bool relay = false; // this host is one of them
    // Services that every host sends to. The others are shards, or will be:
    // connections to them are opened by relays alone.
    std::set<std::string> single_services;

    friend bool operator==(fleet_sharing const&,
                           fleet_sharing const&) = default;
};

struct choice_request
{
    std::string const* service = nullptr;
    std::vector<upstream_ptr> const* exclude = nullptr; // may be null
    time_point now{};
};

enum class choice_failure : std::uint8_t
{
    none_usable, // no upstream of the service may be used
    saturated    // each has as many requests as this host may send
};

// The upstreams that this host may use, and the choice between replicas. Load
// pattern: stragglers. Replicas pause, slow down, fail and vanish without
// notice, so each request goes to the replica that is expected to answer
// first, by what its last answers and its silence tell.
class upstream_fleet
{
public:
    upstream_fleet(upstream_fleet_settings settings, std::uint64_t seed);

    struct changes
    {
        std::vector<upstream_ptr> added;
        std::vector<upstream_ptr> removed; // get no more requests
    };
    // Takes over the whole list of the store and the evacuated data centres.
    changes update(std::vector<upstream_record> const& records,
                   std::set<std::string> const& evacuated, time_point now);
    void set_services(std::vector<upstream_service> const& services);

    // The best replica, or why there is none. The saturated flag is only
    // looked at when the result is null.
    upstream_ptr choose(choice_request const& request, choice_failure& why);
    // Whether a request for the service could be sent now.
    bool available(std::string const& service, time_point now) const;
    // Whether an upstream of the service can be reached, full or not.
    bool reachable(std::string const& service) const;
    // Whether the store lists an upstream of the service that takes requests,
    // reachable from here or not.
    bool listed(std::string const& service) const;
    // Whether upstreams are listed in other data centres and each of them is
    // unreachable or in a data centre that has fallen silent.
    bool isolated() const;

    // Tells that an upstream answered or was connected.
    void alive(upstream_view const& it);
    // Tells that an upstream did not answer in the usual time.
    void overdue(upstream_view const& it);
    bool suspected(std::string const& data_centre) const;
    std::uint32_t connection_limit(upstream_view const& it) const;

    std::vector<upstream_ptr> const& all() const { return all_; }
    upstream_fleet_settings const& settings() const { return settings_; }
    void share(fleet_sharing sharing);
    fleet_sharing const& sharing() const { return sharing_; }
    // Hosts among which the extra sends to a service are divided. A host that
    // leaves a service to relays may still have to send to it.
    double retrying_hosts(std::string const& service) const;

private:
    struct service_entry
    {
        upstream_service service;
        std::vector<upstream_ptr> replicas;
    };
    struct cold_limiter
    {
        time_point next_request{};
    };

    static bool takes_requests(upstream_view const& it);
    // Hosts that send to the service.
    double sending_hosts(std::string const& service) const;
    bool uses_relays(std::string const& service) const;
    // Whether relays send to the service in place of this host.
    bool served_by_relays(std::string const& service) const;
    bool usable(upstream_view const& it) const;
    // Whether this host may send one more request to it.
    bool has_room(service_entry const& entry, upstream_view const& it,
                  time_point now) const;
    double score(upstream_view const& it, time_point now) const;
    bool cold_rate_limited(upstream_view const& it, double rate,
                           time_point now) const;
    void rebuild_index();
    // Divides the connections of upstreams among hosts. Load pattern: many
    // hosts, few connections. When an upstream has fewer connections than
    // there are hosts, each host uses some replicas of a service: those of its
    // own data centre, then those that its name draws.
    void choose_subsets();
    // The best replica of those that are chosen, or of all.
    upstream_ptr best_of(service_entry const& entry,
                         choice_request const& request, bool subset_only,
                         choice_failure& why);

    upstream_fleet_settings settings_;
    fleet_sharing sharing_;
    rng random_;
    std::vector<upstream_ptr> all_;
    std::unordered_map<std::string, service_entry> services_;
    // Silent upstreams by data centre since its last answer.
    std::unordered_map<std::string, std::set<std::string>> unresponsive_;
    std::unordered_map<std::string, cold_limiter> cold_limiters_; // by instance
};

} // namespace snipemill
