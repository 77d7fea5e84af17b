#pragma once

#include <chrono>
#include <cstdint>

namespace snipemill {

using duration = std::chrono::microseconds;

// The clock of the core. It never reads a system clock: adapters pass the
// current time in, tests pass a virtual time.
struct core_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = snipemill::duration;
    using time_point = std::chrono::time_point<core_clock, duration>;
    static constexpr bool is_steady = true;
};

using time_point = core_clock::time_point;

constexpr duration from_ms(std::int64_t n)
{
    return std::chrono::milliseconds(n);
}

constexpr double to_ms(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

} // namespace snipemill
