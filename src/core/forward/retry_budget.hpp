#pragma once

#include "core/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace snipemill {

struct retry_budget_settings
{
    double ratio = 0.2; // extra sends per request
    double floor = 3;   // extra sends in a window without requests
    duration window = from_ms(10'000); // any span of this length counts
    double hedge_share = 0.75;         // of the budget that hedges may use

    friend bool operator==(retry_budget_settings const&,
                           retry_budget_settings const&) = default;
};

// Part of the extra sends in a window that a fleet of this size leaves to each
// host, whatever its traffic. Two lifetimes of a host's process may share a
// window: it restarts with an empty memory of what it has sent.
double retry_floor(double fleet_slack, double hosts);

// This host's share of the extra sends that one service may get. Load pattern:
// retry storms. When upstreams fail, each request would otherwise be sent
// several times to those that are left. The ratio applies to the requests of
// this host, so that the shares of all hosts add up to the fleet's; the floor
// lets a host with little traffic repeat at all.
class retry_budget
{
public:
    enum class attempt_kind : std::uint8_t
    {
        retry,
        hedge
    };

    explicit retry_budget(retry_budget_settings const& settings)
        : settings_(settings)
    {}

    void set_settings(retry_budget_settings const& settings)
    {
        settings_ = settings;
    }
    void count_request(time_point now);
    // Counts an extra send and returns true when the budget allows it.
    bool take(attempt_kind kind, time_point now);

private:
    static constexpr std::size_t bucket_count = 10; // of a window

    struct bucket
    {
        std::int64_t number = -1; // of the span of time, -1: never used
        std::uint32_t requests = 0;
        std::uint32_t extra_attempts = 0;
    };

    bucket& current_bucket(time_point now);
    std::int64_t bucket_number(time_point now) const;

    retry_budget_settings settings_;
    // One more than a window: the oldest bucket is partly inside the window.
    std::array<bucket, bucket_count + 1> ring_{};
};

} // namespace snipemill
