#include "core/forward/retry_budget.hpp"

#include <algorithm>

namespace snipemill {

namespace {

// Processes of one host that may make extra attempts within a window: the host
// may restart once.
constexpr double lifetimes_per_window = 2;

} // namespace

double retry_floor(double fleet_slack, double hosts)
{
    return fleet_slack / (lifetimes_per_window * std::max(1.0, hosts));
}

std::int64_t retry_budget::bucket_number(time_point now) const
{
    auto const width = settings_.window / bucket_count;
    return now.time_since_epoch() / width;
}

retry_budget::bucket& retry_budget::current_bucket(time_point now)
{
    auto const number = bucket_number(now);
    auto& it = ring_[static_cast<std::size_t>(number) % ring_.size()];
    if (it.number != number) {
        it = bucket{.number = number};
    }
    return it;
}

void retry_budget::count_request(time_point now)
{
    ++current_bucket(now).requests;
}

bool retry_budget::take(attempt_kind kind, time_point now)
{
    auto& current = current_bucket(now);
    auto const newest = current.number;
    double requests = 0;
    double extra_attempts = 0;
    for (auto const& it : ring_) {
        if (it.number < 0 ||
            newest - it.number > static_cast<std::int64_t>(bucket_count)) {
            continue;
        }
        extra_attempts += it.extra_attempts;
        // Requests of the oldest bucket may lie outside the window.
        if (newest - it.number < static_cast<std::int64_t>(bucket_count)) {
            requests += it.requests;
        }
    }
    auto limit = settings_.floor + settings_.ratio * requests;
    if (kind == attempt_kind::hedge) {
        limit *= settings_.hedge_share;
    }
    if (extra_attempts + 1 > limit) {
        return false;
    }
    ++current.extra_attempts;
    return true;
}

} // namespace snipemill
