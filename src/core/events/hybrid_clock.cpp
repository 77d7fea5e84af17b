#include "core/events/hybrid_clock.hpp"

#include <algorithm>
#include <limits>

namespace snipemill {

namespace {

// Larger than any skew of a working clock, small enough that the time line
// stays readable when one host's clock is wrong.
constexpr std::uint64_t max_lead_us = 60'000'000;

// The next stamp at or after this one. A full counter moves the wall part.
hybrid_time next_after(hybrid_time t)
{
    if (t.counter == std::numeric_limits<std::uint32_t>::max()) {
        return {.wall = t.wall + 1, .counter = 0};
    }
    return {.wall = t.wall, .counter = t.counter + 1};
}

} // namespace

hybrid_time hybrid_clock::tick(std::uint64_t wall)
{
    last_ = wall > last_.wall ? hybrid_time{.wall = wall} : next_after(last_);
    return last_;
}

hybrid_time hybrid_clock::merge(std::uint64_t wall, hybrid_time received)
{
    auto const limit = wall + max_lead_us;
    if (received.wall > limit) {
        received = {.wall = limit, .counter = 0};
    }
    auto const newest = std::max(last_, received);
    last_ = wall > newest.wall ? hybrid_time{.wall = wall} : next_after(newest);
    return last_;
}

} // namespace snipemill
