#pragma once

#include "core/forward/upstream_record.hpp"

#include <cstdint>
#include <memory>
#include <vector>

namespace snipemill {

// Requests that an upstream reported to run and to wait.
struct reported_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

// How a connection set-up to an upstream went last.
enum class reachability : std::uint8_t
{
    unknown,
    reachable,
    unreachable
};

// What this host knows of one lifetime of an upstream.
class upstream_view
{
public:
    explicit upstream_view(upstream_record record, time_point now);

    upstream_record record; // as the store has it now
    bool listed = true;     // in the store's list
    bool evacuated = false; // its data centre takes no requests
    // Another instance answered at its address. Holds until the store's
    // entry changes.
    bool address_reused = false;
    // Among the replicas that this host keeps connections to.
    bool in_subset = true;
    reachability reach = reachability::unknown;
    time_point cold_until{};

    void sent(time_point now);
    // An exchange that began at `start` ended. relative_latency is its time
    // over the usual one of its route.
    void answered(time_point start, time_point now, double relative_latency);
    // The exchange failed, or the answer says that the upstream did.
    void failed(time_point start, time_point now);
    // This host did not wait for the end of the exchange.
    void timed_out(time_point start, time_point now, double relative_latency);
    // The exchange ended without a verdict on the upstream.
    void released(time_point start);
    // A connection was set up.
    void connected(time_point now);
    void report(reported_load const& load, time_point now);

    std::uint32_t in_flight() const
    {
        return static_cast<std::uint32_t>(pending_.size());
    }
    // Time for which the upstream has been silent with a request open.
    duration silent_for(time_point now) const;
    // Relative latency of late; falls back to 1 with time, so that a slow
    // upstream is tried again.
    double latency_ratio(time_point now) const;
    // Share of failures of late, falling with time.
    double failure_rate(time_point now) const;
    // Requests that wait at the upstream by its last report, 0 when it is old.
    double reported_waiting(time_point now) const;
    bool cold(time_point now) const { return now < cold_until; }

private:
    void remove(time_point start);
    void add_latency(double relative, time_point now);
    void add_outcome(double failure, time_point now);

    std::vector<time_point> pending_; // starts of open exchanges
    time_point last_response_at_{};   // of the last answer or connect
    double latency_ratio_ = 1;
    time_point latency_ratio_at_{};
    double failure_rate_ = 0;
    time_point failure_rate_at_{};
    reported_load load_;
    time_point load_at_{};
};

using upstream_ptr = std::shared_ptr<upstream_view>;

} // namespace snipemill
