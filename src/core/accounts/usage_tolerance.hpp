#pragma once

#include "core/base/time.hpp"

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

} // namespace snipemill
