#include "core/placement/hedge_rule.hpp"

#include <algorithm>

namespace snipemill {

namespace {

// Upstreams pause for 150 to 250 ms; half of that is left on average when an
// attempt is found overdue.
constexpr double pause_left_ms = 100;

// Part of the work of a hedge that its gain has to exceed.
constexpr double least_gain = 0.5;

} // namespace

duration hedge_delay(finish_prediction const& attempt)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(attempt.tail));
}

double remaining_ms(finish_prediction const& attempt, duration elapsed)
{
    auto const ms = to_ms(elapsed);
    auto const delay = to_ms(hedge_delay(attempt));
    // The later it gets, the more likely is a pause.
    auto const paused = std::min(1.0, ms / std::max(1.0, delay));
    return std::max(attempt.mean - ms, pause_left_ms * paused * paused);
}

double latest_worthwhile_finish(finish_prediction const& attempt,
                                duration elapsed)
{
    return remaining_ms(attempt, elapsed) - least_gain * attempt.work;
}

} // namespace snipemill
