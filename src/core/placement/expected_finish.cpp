#include "core/placement/expected_finish.hpp"

#include <algorithm>
#include <cmath>

namespace snipemill {

namespace {

// Time after which the trust in a report has fallen to 1/e. After a service
// time the requests at an upstream are others; the speed follows bursts on the
// same machine, which last longer.
constexpr double load_service_times = 1;
constexpr double min_load_lifetime_ms = 10;
constexpr double max_load_lifetime_ms = 1000;
constexpr double speed_lifetime_ms = 300;

// Weight of a report in the mean speed, which replaces old reports, and the
// half-life with which it returns to the usual speed without reports.
constexpr double usual_speed_half_life_ms = 3000;
constexpr double mean_weight = 0.1;

// Bounds of reported speeds. Real ones are between 1 and 3; a lower value would
// attract work whatever the load.
constexpr double min_speed = 0.8;
constexpr double max_speed = 20;

// The constant speed is averaged over this many samples, with this many of the
// usual speed added. Constant speeds are between 0.8 and 1.3.
constexpr double constant_samples = 100;
constexpr double usual_samples = 5;
// Half-life of the samples without new ones: an upstream that was found slow is
// tried again.
constexpr double constant_half_life_ms = 60'000;
constexpr double min_constant = 0.5;
constexpr double max_constant = 2;

// Weight and largest value of one latency over its predicted tail, and the
// half-life of the error without answers.
constexpr double error_weight = 0.3;
constexpr double max_error_sample = 4;
constexpr duration error_half_life = from_ms(1500);

// A sample for the constant speed counts for at most this multiple of the
// predicted tail: pauses are not part of it.
constexpr double max_sample_tails = 2;

// Added to the tail for the network and the scheduling of both processes.
constexpr double tail_margin_ms = 5;

double trust(double age_ms, double lifetime_ms)
{
    return std::exp(-std::max(0.0, age_ms) / lifetime_ms);
}

} // namespace

double request_cost::usual_ms() const
{
    return std::max(own.mean, mean_there);
}

void expected_finish::on_report(reported_load const& report, std::uint32_t open,
                                time_point now)
{
    auto const total = static_cast<double>(report.running) +
                       static_cast<double>(report.waiting);
    others_ = std::max(0.0, total - open);
    waited_ = report.waiting > 0;
    // Without a speed the mean of the earlier ones holds.
    speed_ = mean_speed_;
    if (report.speed) {
        speed_ = std::clamp(*report.speed, min_speed, max_speed);
        mean_speed_ += mean_weight * (speed_ - mean_speed_);
        reports_speed_ = true;
    }
    reported_at_ = now;
}

double expected_finish::speed(time_point now) const
{
    auto const ms = std::max(0.0, to_ms(age(now)));
    auto const mean =
        1 + (mean_speed_ - 1) * std::exp2(-ms / usual_speed_half_life_ms);
    return mean + (speed_ - mean) * trust(ms, speed_lifetime_ms);
}

double expected_finish::constant(time_point now) const
{
    auto const fading = std::exp2(-std::max(0.0, to_ms(now - measured_at_)) /
                                  constant_half_life_ms);
    return std::clamp((fading * observed_ + usual_samples) /
                          (fading * expected_ + usual_samples),
                      min_constant, max_constant);
}

double expected_finish::load_trust(double mean_work_ms, double slots,
                                   time_point now) const
{
    // A queue lasts until it has been worked off.
    auto const service_times = std::max(load_service_times, others_ / slots);
    auto const lifetime =
        std::clamp(service_times * mean_work_ms, min_load_lifetime_ms,
                   max_load_lifetime_ms);
    return trust(to_ms(age(now)), lifetime);
}

double expected_finish::others(double mean_work_ms, double slots, double usual,
                               time_point now) const
{
    return usual + (others_ - usual) * load_trust(mean_work_ms, slots, now);
}

double expected_finish::error(time_point now) const
{
    auto const age = std::max(0.0, to_ms(now - error_at_));
    return std::max(1.0, error_ * std::exp2(-age / to_ms(error_half_life)));
}

finish_prediction expected_finish::predict(request_cost const& cost,
                                           placement_conditions const& at) const
{
    auto const mean_there =
        cost.mean_there > 0 ? cost.mean_there : cost.own.mean;
    auto const slots = std::max(1.0, static_cast<double>(at.slots));
    auto const pace = speed(at.now) * constant(at.now);
    auto const usual = at.usual_per_slot * slots;
    auto const known = load_trust(mean_there, slots, at.now);
    // Requests that have to end before a slot is free. The number there is an
    // expectation, so the step at the last slot is rounded: with all slots but
    // one expected to be taken, half a request is ahead.
    auto const excess =
        others(mean_there, slots, usual, at.now) + at.open + 1 - slots;
    auto const ahead = (excess + std::sqrt(excess * excess + 1)) / 2;
    auto const wait = ahead * mean_there * pace / slots;
    auto const network = to_ms(at.network);
    auto const mistrust = error(at.now);
    return {.wait = wait * mistrust,
            .mean = (wait + cost.own.mean * pace) * mistrust + network,
            .tail = 2 * wait + cost.own.tail * pace + network + tail_margin_ms,
            .work = cost.own.mean,
            .network = network,
            .doubt = std::sqrt(usual * (1 - known * known)) * mean_there *
                     pace / slots};
}

std::optional<double>
expected_finish::work_of(finish_prediction const& predicted,
                         duration elapsed) const
{
    auto const ms = to_ms(elapsed) - predicted.network;
    if (waited_ || ms <= 0 || !reports_speed_) {
        return std::nullopt;
    }
    return ms / speed_;
}

void expected_finish::on_ended(finish_prediction const& predicted,
                               duration elapsed, bool answered, time_point now)
{
    if (predicted.tail <= 0) {
        return;
    }
    auto const ratio =
        std::min(max_error_sample, to_ms(elapsed) / predicted.tail);
    auto const age = std::max(0.0, to_ms(now - error_at_));
    error_ *= std::exp2(-age / to_ms(error_half_life));
    error_ += error_weight * (ratio - error_);
    error_at_ = now;
    auto const work = work_of(predicted, elapsed);
    if (!answered || !work || predicted.work <= 0) {
        return;
    }
    auto const sample =
        std::min(*work, max_sample_tails * predicted.tail) / predicted.work;
    observed_ += sample - observed_ / constant_samples;
    expected_ += 1 - expected_ / constant_samples;
    measured_at_ = now;
}

} // namespace snipemill
