#pragma once

#include "core/base/rng.hpp"
#include "core/forward/manifest.hpp"
#include "core/forward/upstream_view.hpp"
#include "core/placement/network_latency.hpp"
#include "core/placement/usual_load.hpp"
#include "core/rollouts/version_share.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace snipemill {

struct upstream_fleet_settings
{
    std::string host;        // name of this host
    std::string data_centre; // of this host
    // Lowest addition to the score of an upstream in another data centre,
    // because traffic between data centres is billed and takes longer.
    double remote_penalty = 0.6;
    // Part of a request's objective that it may spend at a slower upstream of
    // the own data centre: an answer that arrives within the objective is worth
    // the same whenever it arrives. The rest is for a hedge and the way back.
    double local_share = 0.35;
    // Added to the score of a failing upstream, times its failure rate.
    double failure_penalty = 8;
    // Time without a response, with a request open, after which other upstreams
    // are preferred: above the usual latency of a request and below the pauses
    // of upstreams (100 ms).
    duration suspect_after = from_ms(30);
    // Scores upstreams that report their speed by expected finish.
    bool expected_finish = true;
    // Time without a response after which an upstream needs a new connection to
    // count as reachable: above the longest pause of an upstream (150 ms).
    duration unreachable_timeout = from_ms(300);
    // Number of unresponsive upstreams, with no response from their data centre
    // meanwhile, from which the whole data centre is suspected.
    std::uint32_t suspect_upstreams = 3;
    std::uint32_t max_connections = 6; // from this host to one upstream
    // Time within which the list shows that an upstream has turned cold: until
    // its next report, and until this host has read that.
    duration report_delay = from_ms(4200);
};

// How the hosts of a fleet share the capacity of upstreams.
struct fleet_sharing
{
    // Number of hosts that share the connections and the cold rate of an
    // upstream.
    double hosts = 8;
    // Number of relays, the only hosts that send to shards while a relay is
    // reachable; 0: all hosts send to shards.
    double relays = 0;
    bool relay = false; // this host is a relay
    // Services that every host sends to. All other services are shards, or will
    // become shards: only relays open connections to them.
    std::set<std::string> single_services;

    friend bool operator==(fleet_sharing const&,
                           fleet_sharing const&) = default;
};

struct choice_request
{
    std::string const* service = nullptr;
    std::vector<upstream_ptr> const* exclude = nullptr; // may be null
    // Prefers upstreams that run no other suspect of crash_guard.
    bool suspect = false;
    // Target latency of the request, and the mean latency of its route at
    // upstreams; 0: not known.
    duration objective{};
    duration usual{};
    time_point now{};
    // Of the request; upstreams that report their speed are then scored by
    // expected finish. May be null.
    request_cost const* cost = nullptr;
    // Leaves out upstreams that are expected to finish later than in this many
    // ms, when it is set.
    std::optional<double> latest_finish;
};

enum class choice_failure : std::uint8_t
{
    // The service has no usable upstream that is not excluded.
    none_usable,
    // The usable upstreams that are not excluded are at the connection limit or
    // the cold rate of this host.
    saturated
};

// The upstreams that this host may use, and the choice between replicas. Load
// pattern: stragglers. Replicas pause, slow down, fail and stop without notice,
// so each request goes to the replica with the lowest expected latency,
// estimated from its recent answers and the time since its last response.
class upstream_fleet
{
public:
    upstream_fleet(upstream_fleet_settings settings, std::uint64_t seed);

    struct changes
    {
        std::vector<upstream_ptr> added;
        std::vector<upstream_ptr> removed; // receive no more requests
    };
    // Replaces the upstreams and the evacuated data centres by those of the
    // store.
    changes update(std::vector<upstream_record> const& records,
                   std::set<std::string> const& evacuated, time_point now);
    void set_services(std::vector<upstream_service> const& services);
    // Sets which versions of a service get requests. Without a call all do.
    void set_versions(version_shares versions);

    // The replica with the lowest score, or null. `why` is valid only when the
    // result is null.
    upstream_ptr choose(choice_request const& request, choice_failure& why);
    // Whether a request for the service can be sent now.
    bool available(std::string const& service, time_point now) const;
    // Number of upstreams of the service that a request can be sent to now.
    std::size_t available_upstreams(std::string const& service,
                                    time_point now) const;
    // Whether an upstream of the service is reachable, saturated or not.
    bool reachable(std::string const& service) const;
    // Whether the store lists an upstream of the service that takes requests,
    // reachable from this host or not.
    bool listed(std::string const& service) const;
    // Whether upstreams are listed in other data centres and each of them is
    // unreachable or in a suspected data centre.
    bool isolated() const;

    // An answer to a request that was sent at `sent` has arrived.
    void on_answer(upstream_view& it, upstream_signals const& signals,
                   time_point sent, time_point now);
    // A connection was set up in `elapsed`.
    void on_connected(upstream_view const& it, duration elapsed,
                      time_point now);
    // Whether an upstream has reported its speed since this host started.
    bool speeds_reported() const { return speeds_reported_; }
    // When the request would finish at the upstream; `mean` is 0 when it is not
    // known.
    finish_prediction predict(upstream_view const& it, request_cost const& cost,
                              time_point now) const;
    // Time until the service has room for a request, if its upstreams stay
    // reachable; none if it has no usable upstream.
    std::optional<duration> time_to_room(std::string const& service,
                                         time_point now) const;
    // Sets what is called when an upstream's signals change what it may get.
    void
    on_admission(std::function<void(upstream_view const&, admission_change)> f)
    {
        on_admission_ = std::move(f);
    }
    // Records that an upstream answered or was connected.
    void mark_responsive(upstream_view const& it);
    // Records that an upstream did not answer in the usual time.
    void mark_unresponsive(upstream_view const& it);
    bool suspected(std::string const& data_centre) const;
    std::uint32_t connection_limit(upstream_view const& it) const;

    std::vector<upstream_ptr> const& all() const { return all_; }
    upstream_fleet_settings const& settings() const { return settings_; }
    void set_sharing(fleet_sharing sharing);
    fleet_sharing const& sharing() const { return sharing_; }
    // Hosts among which the retry budget of a service is divided. A host whose
    // requests to a service go through relays may still have to send directly.
    double retrying_hosts(std::string const& service) const;

private:
    struct service_entry
    {
        upstream_service service;
        std::vector<upstream_ptr> replicas;
        usual_load load;
    };
    // What is kept of an upstream that left the list: its entry may only have
    // lapsed while the store was unavailable.
    struct departed_upstream
    {
        upstream_record record;
        upstream_admission admission;
        time_point at{};
    };

    // Whether its entry and its answers allow requests, whatever its version.
    static bool in_service(upstream_view const& it);
    static bool takes_requests(upstream_view const& it);
    version_role role_of(upstream_record const& record) const;
    // Hosts that send to the service.
    double sending_hosts(std::string const& service) const;
    bool uses_relays(std::string const& service) const;
    // Whether relays send to the service in place of this host.
    bool served_by_relays(std::string const& service) const;
    bool usable(upstream_view const& it) const;
    // Whether this host may send one more request to the upstream.
    bool has_room(service_entry const& entry, upstream_view const& it,
                  time_point now) const;
    double score(upstream_view const& it, choice_request const& request) const;
    // Addition to the score of an upstream in another data centre, in units of
    // the usual latency. Load pattern: objectives that leave room. A request is
    // sent elsewhere only when a near upstream would endanger its objective.
    double remote_penalty(choice_request const& request) const;
    // The same for an upstream that reports its speed, from its predicted
    // finish. The unit of both is the usual latency.
    double finish_score(upstream_view const& it, choice_request const& request,
                        finish_prediction const& predicted) const;
    // Score with the random part; none for a hedge that is not worth its work.
    std::optional<double> draw_score(upstream_view const& it,
                                     choice_request const& request,
                                     double usual_per_slot);
    finish_prediction predict(upstream_view const& it, request_cost const& cost,
                              double usual_per_slot, time_point now) const;
    void learn_load(upstream_view& it, reported_load const& load,
                    time_point now);
    sender_group senders(std::string const& service) const;
    // Earliest time at which this host may send to the upstream.
    time_point next_send(service_entry const& entry, upstream_view const& it,
                         time_point now) const;
    upstream_ptr add(upstream_record const& record, time_point now);
    void remember_departed(upstream_view const& it, time_point now);
    void rebuild_index();
    // Divides the connections of upstreams among hosts. Load pattern: many
    // hosts, few connections. When an upstream accepts fewer connections than
    // there are hosts, each host uses a subset of the replicas of a service:
    // those of its own data centre first, then by a hash of host and instance.
    void choose_subsets();
    // The replica with the lowest score among those that match; null if there
    // is none.
    template <class Matches>
    upstream_ptr best_of(service_entry const& entry,
                         choice_request const& request, Matches matches,
                         choice_failure& why);
    // An upstream of the version that is being rolled out, if this request is
    // of its share.
    upstream_ptr choose_canary(service_entry const& entry,
                               choice_request const& request);

    upstream_fleet_settings settings_;
    fleet_sharing sharing_;
    rng random_;
    network_latency network_;
    bool speeds_reported_ = false;
    std::function<void(upstream_view const&, admission_change)> on_admission_;
    version_shares versions_;
    std::vector<upstream_ptr> all_;
    std::unordered_map<std::string, service_entry> services_;
    // Unresponsive upstreams by data centre, since the last response from the
    // data centre.
    std::unordered_map<std::string, std::set<std::string>> unresponsive_;
    std::unordered_map<std::string, departed_upstream> departed_; // by instance
};

} // namespace snipemill
