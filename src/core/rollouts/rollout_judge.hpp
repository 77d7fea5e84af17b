#pragma once

#include "core/rollouts/rollout_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipemill {

struct rollout_judge_settings
{
    // Chance of condemning a good version in one test. The tests are repeated
    // a few times a second, on data that is mostly the same.
    double error_chance = 2e-4;
    std::uint64_t min_bad = 3;
    // Failure rate that counts as usual, however few failures the version in
    // use has.
    double usual_failures = 0.01;
    double usual_slow = 0.03;
    std::uint64_t min_previous = 20; // answers of the version in use to compare
    std::uint64_t min_median = 8;    // answers whose median is a usual latency
    // A response is slow above this multiple of the median of the version in
    // use. Upstreams of one version differ by a factor of 1.6 (0.8 to 1.3).
    double slow_factor = 2.5;
    // Added to the median; a new connection takes up to 6 ms.
    duration slow_margin = from_ms(15);
    // Bad responses have to spread over intervals: an upstream that pauses
    // (up to 250 ms) delays many requests at once, one that ends fails them.
    duration interval = from_ms(500);
    std::uint32_t failed_intervals = 2;
    std::uint32_t slow_intervals = 3;
    // Part of the intervals that would have bad responses if these were
    // independent of one another. With less, single events have caused them.
    double min_spread = 0.75;
    std::uint32_t recent_intervals = 6; // tested apart from the whole
    std::size_t max_intervals = 240;    // kept for each route
};

// What makes a version bad.
struct rollout_verdict
{
    std::string route;  // empty: all routes together
    std::string reason; // "failures" or "latency"
    std::uint64_t bad = 0;
    std::uint64_t answers = 0;
    double usual = 0; // rate of bad responses of the version in use
};

// Compares a new version with the one in use, for each route and for all
// together, by counters of all hosts. Failure: a version that is bad at once,
// later, under load or on one route only, whose few bad responses vanish in the
// sums over all routes and the whole time.
class rollout_judge
{
public:
    explicit rollout_judge(rollout_judge_settings const& settings = {})
        : settings_(settings)
    {}

    void on_report(rollout_report const& report, time_point now);
    std::optional<rollout_verdict> verdict() const;

    std::uint64_t requests() const;        // to the service
    std::uint64_t target_requests() const; // of them to the new version
    // Whether each of the hosts has reported since `since` that all its
    // requests go to the new version and none is open at an old upstream.
    bool moved(std::vector<std::string> const& hosts, time_point since) const;

private:
    struct host_state
    {
        rollout_report last;
        time_point at{};
    };
    struct interval_counts
    {
        std::int64_t number = 0;
        version_counts target;
    };
    struct route_state
    {
        version_counts previous;
        version_counts target;
        std::deque<interval_counts> intervals; // with answers of the target
    };
    struct interval_evidence
    {
        std::uint64_t bad = 0;
        std::uint64_t answers = 0;
    };
    // Bad responses of both versions, of a route or of several.
    struct evidence
    {
        std::uint64_t bad = 0;
        std::uint64_t answers = 0;
        std::uint64_t previous_bad = 0;
        std::uint64_t previous_answers = 0;
        std::map<std::int64_t, interval_evidence> intervals; // of the target

        void add(evidence const& it);
    };
    enum class badness : std::uint8_t
    {
        failures,
        latency
    };

    void add(route_state& it, route_counts const& change, std::int64_t number);
    // Of the last intervals of the target only, or of the whole time.
    evidence collect(route_state const& it, badness kind, bool recent) const;
    std::optional<rollout_verdict> judge(std::string const& route, badness kind,
                                         evidence const& it) const;
    std::optional<rollout_verdict> judge_all(badness kind, bool recent) const;
    static std::size_t bad_intervals(evidence const& it);
    // Whether the bad responses come from few events.
    bool is_clustered(evidence const& it) const;
    // Whether so many bad ones among n are due to chance.
    bool is_chance(std::uint64_t bad, std::uint64_t n, double usual) const;

    rollout_judge_settings settings_;
    std::map<std::string, host_state> hosts_;
    std::map<std::string, route_state> routes_;
};

} // namespace snipemill
