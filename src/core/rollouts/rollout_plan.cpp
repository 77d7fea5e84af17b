#include "core/rollouts/rollout_plan.hpp"

#include <algorithm>
#include <cmath>

namespace snipemill {

namespace {

double seconds(duration d)
{
    return to_ms(d) / 1000;
}

duration part_of(duration d, double part)
{
    return std::chrono::duration_cast<duration>(d * part);
}

// Shortest time from which the rate of requests is computed.
constexpr double min_rate_time = 0.5;

} // namespace

duration rollout_plan::final_at(duration time_limit) const
{
    auto const last = std::clamp(part_of(time_limit, settings_.final_part),
                                 settings_.min_final, settings_.max_final);
    return std::max(time_limit - last, part_of(time_limit, 0.5));
}

double rollout_plan::allowance(rollout_progress const& it) const
{
    return bounds_.canary_share * static_cast<double>(it.requests) +
           bounds_.canary_slack - static_cast<double>(it.target_requests);
}

// The mean share spends a part of the allowance evenly. It is given in pulses
// that load a new upstream like an old one.
double rollout_plan::hold_share(rollout_progress const& it, double rate) const
{
    auto const total = std::max(1.0, rate * seconds(it.time_limit));
    auto const mean =
        std::min(settings_.max_share,
                 settings_.hold_part * bounds_.canary_share +
                     settings_.slack_part * bounds_.canary_slack / total);
    auto const even =
        1.0 / static_cast<double>(std::max<std::size_t>(1, it.old_upstreams));
    auto const pulse = std::min(settings_.max_share, std::max(mean, even));
    auto const period = std::clamp(part_of(it.time_limit, 1 / settings_.pulses),
                                   settings_.min_pulse, settings_.max_pulse);
    auto const position = seconds(it.elapsed % period) / seconds(period);
    return position * pulse < mean ? pulse : 0;
}

double rollout_plan::ramp_share(rollout_progress const& it, double rate) const
{
    auto const final_time = final_at(it.time_limit);
    auto const left = std::max(0.1, seconds(final_time - it.elapsed));
    auto const last = rate * seconds(it.time_limit - final_time);
    auto const share = (allowance(it) - last) / (std::max(0.1, rate) * left);
    return std::clamp(share, 0.0, settings_.max_share);
}

rollout_step rollout_plan::step(rollout_progress const& it) const
{
    if (it.new_upstreams == 0 || it.elapsed < settings_.observe) {
        return {};
    }
    if (it.elapsed >= final_at(it.time_limit)) {
        return {.phase = rollout_phase::all, .share = 1};
    }
    auto const rate = static_cast<double>(it.requests) /
                      std::max(min_rate_time, seconds(it.elapsed));
    bool const widen =
        it.elapsed >= part_of(it.time_limit, settings_.widen_after);
    rollout_step out{.phase = widen ? rollout_phase::ramp : rollout_phase::hold,
                     .share = hold_share(it, rate)};
    if (widen) {
        out.share = std::max(out.share, ramp_share(it, rate));
    }
    // Requests that are under way and not reported count as sent.
    auto const unreported = out.share * rate * seconds(settings_.report_lag);
    if (unreported + 1 > allowance(it)) {
        out.share = 0;
    }
    return out;
}

} // namespace snipemill
