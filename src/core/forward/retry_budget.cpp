#include "core/forward/retry_budget.hpp"

#include <algorithm>

namespace snipemill {

namespace {

constexpr double lifetimes = 2;

} // namespace

double retry_floor(double fleet_slack, double hosts)
{
    return fleet_slack / (lifetimes * std::max(1.0, hosts));
}

std::int64_t retry_budget::number_of(time_point now) const
{
    auto const width = settings_.window / buckets;
    return now.time_since_epoch() / width;
}

retry_budget::bucket& retry_budget::current(time_point now)
{
    auto const number = number_of(now);
    auto& it = ring_[static_cast<std::size_t>(number) % ring_.size()];
    if (it.number != number) {
        it = bucket{.number = number};
    }
    return it;
}

void retry_budget::count_request(time_point now)
{
    ++current(now).requests;
}

bool retry_budget::take(use kind, time_point now)
{
    auto& mine = current(now);
    auto const newest = mine.number;
    double requests = 0;
    double extra = 0;
    for (auto const& it : ring_) {
        if (it.number < 0 ||
            newest - it.number > static_cast<std::int64_t>(buckets)) {
            continue;
        }
        extra += it.extra;
        // The oldest bucket may lie outside the window.
        if (newest - it.number < static_cast<std::int64_t>(buckets)) {
            requests += it.requests;
        }
    }
    auto limit = settings_.floor + settings_.ratio * requests;
    if (kind == use::hedge) {
        limit *= settings_.hedge_share;
    }
    if (extra + 1 > limit) {
        return false;
    }
    ++mine.extra;
    return true;
}

} // namespace snipemill
