#pragma once

#include "core/accounts/client_account.hpp"
#include "core/base/time.hpp"

#include <chrono>

namespace snipemill {

// By how much the requests of an account may exceed its usage cap. In any
// window they stay below (rate * window + burst) * (1 + overage) + slack.
struct usage_tolerance
{
    duration window = from_ms(5000);
    double overage = 0.1; // ratio of what the cap allows in a window
    double slack = 0;     // requests in a window

    friend bool operator==(usage_tolerance const&,
                           usage_tolerance const&) = default;
};

// Requests of an account in a window beyond its cap.
inline double tolerated_excess(usage_tolerance const& it, usage_cap const& cap)
{
    auto const window = std::chrono::duration<double>(it.window).count();
    return it.overage * (cap.rate * window + cap.burst) + it.slack;
}

} // namespace snipemill
