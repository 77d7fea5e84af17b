#pragma once

#include "core/base/time.hpp"

#include <chrono>

namespace snipemill {

// Monotonic time of this process, as the core uses it.
inline time_point core_now()
{
    auto const now = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(now));
}

inline std::chrono::steady_clock::time_point to_steady(time_point t)
{
    return std::chrono::steady_clock::time_point(t.time_since_epoch());
}

} // namespace snipemill
