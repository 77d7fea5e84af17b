#pragma once

#include "core/base/strong_id.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace snipemill {

struct crash_burst_settings
{
    std::uint32_t per_second = 4; // bursts; 0 leaves the spread to probes
    std::size_t max_records = 8;  // in one datagram, which stays below 1 KB
};

// Decides when crash records that this host has just made are sent to all
// members at once. A burst costs one datagram per member, so their rate is
// bounded; records that must wait go with the next burst.
class crash_bursts
{
public:
    explicit crash_bursts(crash_burst_settings const& settings);

    // A record was made or names one more upstream.
    void add(fingerprint print);
    // The records to send now; none when nothing waits or the rate is reached.
    std::vector<fingerprint> take(time_point now);

private:
    crash_burst_settings settings_;
    std::vector<fingerprint> waiting_; // in order of arrival
    std::vector<time_point> sent_;     // bursts of the last second, in order
};

} // namespace snipemill
