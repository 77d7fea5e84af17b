#pragma once

#include "core/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace snipemill {

struct retry_budget_settings
{
    double ratio = 0.2; // extra attempts per request
    double floor = 3;   // extra attempts in a window without requests
    // The limit holds for any span of this length.
    duration window = from_ms(10'000);
    double hedge_share = 0.75; // share of the budget that hedges may use

    friend bool operator==(retry_budget_settings const&,
                           retry_budget_settings const&) = default;
};

// Extra attempts in a window that each host of a fleet of this size may make
// whatever its traffic. `fleet_slack` is the number of extra attempts to a
// service in a window that the whole fleet may make besides the ratio. Half of
// the slack is used: a host's process may restart within a window, and the new
// process has no record of earlier extra attempts.
double retry_floor(double fleet_slack, double hosts);

// This host's share of the extra attempts that one service may get. Load
// pattern: retry storms. When upstreams fail, each request would otherwise be
// sent several times to the remaining upstreams. The ratio applies to the
// requests of this host, so that the shares of all hosts add up to that of the
// fleet; the floor lets a host with little traffic retry at all.
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
    // Counts an extra attempt and returns true if the budget allows the
    // attempt.
    bool take(attempt_kind kind, time_point now);

private:
    static constexpr std::size_t bucket_count = 10; // per window

    struct bucket
    {
        std::int64_t number = -1; // number of the time span; -1: unused
        std::uint32_t requests = 0;
        std::uint32_t extra_attempts = 0;
    };

    bucket& current_bucket(time_point now);
    std::int64_t bucket_number(time_point now) const;

    retry_budget_settings settings_;
    // One bucket more than a window has, since the oldest bucket overlaps the
    // window only in part.
    std::array<bucket, bucket_count + 1> ring_{};
};

} // namespace snipemill
