#pragma once

#include "core/base/rng.hpp"
#include "core/base/time.hpp"

#include <cstdint>

namespace snipemill {

struct seed_schedule_settings
{
    duration interval = from_ms(10'000); // mean, between two reads
    double jitter = 0.25;                // share of the interval, either way
};

// When a host reads the platform's list of hosts again. Only the readers of a
// data centre do: the load on the platform does not grow with the fleet, and
// membership tells the other hosts. A host that knows nobody is a reader.
class seed_schedule
{
public:
    seed_schedule(seed_schedule_settings const& settings, std::uint64_t seed);

    // The list is being read now.
    void start(time_point now);
    // Whether the list is to be read now. Each interval gives one chance; the
    // jitter keeps hosts that were started together apart.
    bool due(time_point now, bool reader);

private:
    seed_schedule_settings settings_;
    rng random_;
    time_point next_{};
};

} // namespace snipemill
