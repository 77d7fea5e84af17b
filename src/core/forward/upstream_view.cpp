#include "core/forward/upstream_view.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace snipemill {

namespace {

// Weight of a new sample: averages over about the last three answers for
// latency and the last five for failures.
constexpr double latency_weight = 0.3;
constexpr double failure_weight = 0.2;

// Half-life of the latency and failure estimates of an upstream that receives
// no requests. Their decay lets a slow or failing upstream receive requests
// again.
constexpr duration estimate_half_life = from_ms(1500);

double decay(duration age)
{
    return std::exp2(-to_ms(std::max(age, duration::zero())) /
                     to_ms(estimate_half_life));
}

} // namespace

upstream_view::upstream_view(upstream_record r, time_point now)
    : record(std::move(r)), cold_until(now + record.cold_left)
{}

void upstream_view::sent(time_point now, finish_prediction const& predicted)
{
    pending_.push_back({.start = now, .predicted = predicted});
}

std::vector<upstream_view::open_request>::const_iterator
upstream_view::find(time_point start) const
{
    auto const it = std::find_if(
        pending_.begin(), pending_.end(),
        [start](open_request const& open) { return open.start == start; });
    assert(it != pending_.end());
    return it;
}

finish_prediction upstream_view::remove(time_point start)
{
    auto const it = pending_.begin() + (find(start) - pending_.cbegin());
    auto const out = it->predicted;
    *it = pending_.back();
    pending_.pop_back();
    return out;
}

std::optional<double> upstream_view::work_of(time_point start,
                                             time_point now) const
{
    return placement.work_of(find(start)->predicted, now - start);
}

void upstream_view::answered(time_point start, time_point now,
                             double relative_latency)
{
    placement.on_ended(remove(start), now - start, true, now);
    last_response_at_ = now;
    add_latency(relative_latency, now);
    add_outcome(0, now);
}

void upstream_view::timed_out(time_point start, time_point now,
                              double relative_latency)
{
    placement.on_ended(remove(start), now - start, false, now);
    add_latency(relative_latency, now);
}

void upstream_view::add_latency(double relative, time_point now)
{
    latency_ratio_ =
        latency_ratio(now) * (1 - latency_weight) + relative * latency_weight;
    latency_ratio_at_ = now;
}

void upstream_view::failed(time_point start, time_point now)
{
    remove(start);
    add_outcome(1, now);
}

void upstream_view::add_outcome(double failure, time_point now)
{
    failure_rate_ =
        failure_rate(now) * (1 - failure_weight) + failure * failure_weight;
    failure_rate_at_ = now;
}

void upstream_view::released(time_point start)
{
    remove(start);
}

void upstream_view::connected(time_point now)
{
    reach = reachability::reachable;
    last_response_at_ = now;
}

duration upstream_view::unresponsive_for(time_point now) const
{
    if (pending_.empty()) {
        return duration::zero();
    }
    auto const oldest =
        std::min_element(pending_.begin(), pending_.end(),
                         [](open_request const& a, open_request const& b) {
                             return a.start < b.start;
                         })
            ->start;
    return now - std::max(oldest, last_response_at_);
}

bool upstream_view::overdue(time_point now) const
{
    return std::any_of(
        pending_.begin(), pending_.end(), [&](open_request const& it) {
            return to_ms(now - std::max(it.start, last_response_at_)) >
                   it.predicted.tail;
        });
}

double upstream_view::latency_ratio(time_point now) const
{
    return 1 + (latency_ratio_ - 1) * decay(now - latency_ratio_at_);
}

double upstream_view::failure_rate(time_point now) const
{
    return failure_rate_ * decay(now - failure_rate_at_);
}

} // namespace snipemill
