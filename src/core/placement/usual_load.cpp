#include "core/placement/usual_load.hpp"

#include <algorithm>
#include <cmath>

namespace snipemill {

namespace {

// Value without reports, and the half-life with which the mean returns to it.
constexpr double unknown_load = 0.5;
constexpr double half_life_ms = 3000;

// Weight of a report: the mean covers about the last twenty.
constexpr double weight = 0.05;

} // namespace

void usual_load::add(double others, double slots, time_point now)
{
    auto const before = per_slot(now);
    auto const sample = others / std::max(1.0, slots);
    mean_ = before + weight * (sample - before) - unknown_load;
    at_ = now;
}

double usual_load::per_slot(time_point now) const
{
    auto const age = std::max(0.0, to_ms(now - at_));
    return unknown_load + mean_ * std::exp2(-age / half_life_ms);
}

} // namespace snipemill
