#include "core/forward/service_fetch.hpp"
#include "core/placement/hedge_rule.hpp"

#include <algorithm>

namespace snipemill {

// The part of service_fetch that estimates costs and decides about hedges.

cost_key service_fetch::key() const
{
    return {.route = options_.route->name,
            .account = options_.request->account,
            .service = *options_.service};
}

void service_fetch::estimate_cost()
{
    if (options_.shared->fleet.speeds_reported()) {
        auto const& costs = options_.shared->costs;
        cost_ = {.own = costs.expect(key()),
                 .mean_there = costs.mean_at(*options_.service)};
    }
}

std::optional<double> service_fetch::latest_hedge_finish(time_point now) const
{
    std::optional<double> out;
    for (auto const& it : attempts_) {
        if (it.open && it.predicted.mean > 0) {
            auto const ms =
                latest_worthwhile_finish(it.predicted, now - it.start);
            out = out ? std::min(*out, ms) : ms;
        }
    }
    return out;
}

void service_fetch::schedule_hedge(time_point now)
{
    if (!idempotent() || options_.attempts < 2) {
        return;
    }
    auto const& settings = options_.shared->settings;
    auto const objective = options_.route->objective;
    auto const of_objective = [objective](double share) {
        return std::chrono::duration_cast<duration>(objective * share);
    };
    auto const& latency = options_.shared->latencies[options_.route->name];
    auto const& predicted = attempts_.front().predicted;
    auto const delay = std::clamp(
        predicted.mean > 0
            ? hedge_delay(predicted)
            : latency.hedge_delay(of_objective(settings.default_hedge_share)),
        settings.min_hedge_delay,
        std::max(settings.min_hedge_delay,
                 of_objective(settings.max_hedge_share)));
    hedge_at_ = now + delay;
}

void service_fetch::on_hedge_timer(time_point now)
{
    hedge_at_.reset();
    for (auto& it : attempts_) {
        if (it.open && !it.unresponsive_reported) {
            it.unresponsive_reported = true;
            options_.shared->fleet.mark_unresponsive(*it.upstream);
        }
    }
    auto const before = attempts_.size();
    bool const allowed =
        !options_.remaining_hedges || *options_.remaining_hedges > 0;
    if (allowed && may_start_extra_attempt(now) && open_attempts() > 0) {
        start_extra_attempt(retry_budget::attempt_kind::hedge, now);
    }
    if (attempts_.size() > before) {
        return;
    }
    // The bound of the delay came first, and no hedge was worth its work yet.
    auto const& first = attempts_.front();
    auto const tail_at = first.start + hedge_delay(first.predicted);
    if (first.open && tail_at > now) {
        hedge_at_ = tail_at;
    }
}

} // namespace snipemill
