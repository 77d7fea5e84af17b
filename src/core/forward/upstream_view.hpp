#pragma once

#include "core/forward/upstream_admission.hpp"
#include "core/forward/upstream_record.hpp"
#include "core/placement/expected_finish.hpp"
#include "core/rollouts/version_share.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace snipemill {

// Result of the last attempt to connect to an upstream.
enum class reachability : std::uint8_t
{
    unknown,
    reachable,
    unreachable
};

// State that this host keeps of one upstream, from one start of its process to
// the next.
class upstream_view
{
public:
    explicit upstream_view(upstream_record record, time_point now);

    upstream_record record; // current entry in the store
    bool listed = true;     // in the store's list
    bool evacuated = false; // its data centre takes no requests
    version_role role = version_role::serving; // of its version
    // Another instance answered at its address. Reset when the entry in the
    // store changes.
    bool address_reused = false;
    // In the subset of replicas that this host keeps connections to.
    bool in_subset = true;
    reachability reach = reachability::unknown;
    // Open exchanges of requests that crash_guard suspects.
    std::uint32_t open_suspects = 0;
    time_point cold_until{};
    upstream_admission admission;
    expected_finish placement;

    // Whether the upstream is shutting down, by its entry or by its answers.
    bool leaving() const { return record.draining || admission.leaving(); }
    void sent(time_point now, finish_prediction const& predicted = {});
    // The exchange that began at `start` ended with an answer. relative_latency
    // is its duration divided by the mean latency of its route.
    void answered(time_point start, time_point now, double relative_latency);
    // The exchange failed, or the upstream refused the request or answered with
    // an error or without a stamp.
    void failed(time_point start, time_point now);
    // This host stopped waiting for the answer.
    void timed_out(time_point start, time_point now, double relative_latency);
    // The exchange ended without a sample of latency or failures.
    void released(time_point start);
    // A connection was set up.
    void connected(time_point now);

    std::uint32_t in_flight() const
    {
        return static_cast<std::uint32_t>(pending_.size());
    }
    // Time without a response while a request is open.
    duration unresponsive_for(time_point now) const;
    // Whether an open request has waited for a response for longer than its
    // predicted tail, or is open without a prediction.
    bool overdue(time_point now) const;
    // Work in ms of the request sent at `start`, whose answer has just arrived;
    // see expected_finish.
    std::optional<double> work_of(time_point start, time_point now) const;
    // Moving average of the relative latency; decays to 1, so that a slow
    // upstream is tried again.
    double latency_ratio(time_point now) const;
    // Moving average of the failures per answer; decays to 0.
    double failure_rate(time_point now) const;
    bool cold(time_point now) const { return now < cold_until; }

private:
    struct open_request
    {
        time_point start{};
        finish_prediction predicted;
    };

    std::vector<open_request>::const_iterator find(time_point start) const;
    finish_prediction remove(time_point start);
    void add_latency(double relative, time_point now);
    void add_outcome(double failure, time_point now);

    std::vector<open_request> pending_; // open exchanges
    time_point last_response_at_{};     // last answer or connection
    double latency_ratio_ = 1;
    time_point latency_ratio_at_{};
    double failure_rate_ = 0;
    time_point failure_rate_at_{};
};

using upstream_ptr = std::shared_ptr<upstream_view>;

} // namespace snipemill
