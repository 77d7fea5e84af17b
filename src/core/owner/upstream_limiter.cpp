#include "core/owner/upstream_limiter.hpp"

#include <algorithm>
#include <cassert>

namespace snipemill {

namespace {

// A report that is not renewed within this many polls no longer counts.
constexpr int polls_per_report = 3;

} // namespace

upstream_limiter::upstream_limiter(owner_engine_settings const& settings,
                                   std::uint32_t slots)
    : settings_(&settings), slots_(std::max(slots, 1U))
{
    reopen();
}

void upstream_limiter::set_slots(std::uint32_t slots)
{
    slots_ = std::max(slots, 1U);
    if (!settings_->ramp) {
        limit_ = slots_;
        return;
    }
    limit_ = std::min(limit_, slots_);
    if (state_ == limiter_state::warm && limit_ < slots_) {
        state_ = limiter_state::warming;
    }
    else if (state_ == limiter_state::warming && limit_ == slots_) {
        state_ = limiter_state::warm;
    }
}

void upstream_limiter::adopt(upstream_gauge const& state)
{
    latency_.seed(state.latency_quantile);
    held_until_ = time_point::min();
    auto const was_used = state.condition == upstream_condition::warm ||
                          state.condition == upstream_condition::warming ||
                          state.condition == upstream_condition::saturated;
    if (!open() || !was_used || !settings_->ramp) {
        return;
    }
    // Requests that the previous owner has in flight still occupy slots.
    auto const usable = std::min(state.limit, slots_);
    limit_ = usable > state.in_flight ? usable - state.in_flight : 1;
    good_run_ = 0;
    state_ = limit_ < slots_ ? limiter_state::warming : limiter_state::warm;
}

void upstream_limiter::close(limiter_state state)
{
    assert(state == limiter_state::leaving || state == limiter_state::out);
    state_ = state;
}

void upstream_limiter::reopen()
{
    good_run_ = 0;
    if (settings_->ramp) {
        state_ = limiter_state::cold;
        limit_ = 1;
        return;
    }
    state_ = limiter_state::warm;
    limit_ = slots_;
}

bool upstream_limiter::may_start(time_point now, std::uint32_t in_flight) const
{
    if (!open()) {
        return false;
    }
    if (state_ == limiter_state::cold) {
        return in_flight == 0 && now >= next_start(0).value_or(now);
    }
    return !settings_->limit_slots || in_flight < limit(now);
}

std::optional<time_point>
upstream_limiter::next_start(std::uint32_t in_flight) const
{
    if (state_ != limiter_state::cold || in_flight > 0 || !last_start_) {
        return std::nullopt;
    }
    return *last_start_ + settings_->cold_start_interval;
}

void upstream_limiter::on_answer(time_point now, duration latency)
{
    auto const usual = latency_.quantile();
    latency_.add(latency);
    auto const jump =
        static_cast<double>(usual.count()) * settings_->latency_jump_factor;
    if (usual > duration{} && static_cast<double>(latency.count()) > jump) {
        fall();
        return;
    }
    on_good(now);
}

void upstream_limiter::on_good(time_point now)
{
    if (++good_run_ < settings_->good_answers_to_grow) {
        return;
    }
    good_run_ = 0;
    grow(now);
}

// A request that was dispatched shortly before its deadline says nothing
// about the upstream; counting it would lower the limit under overload, when
// requests wait longest.
void upstream_limiter::on_timeout(duration ran_for)
{
    auto const counts = ran_for >= latency_.quantile();
    on_given_up(ran_for);
    if (counts) {
        fall();
    }
}

// The latency would have been at least ran_for. Without this sample the
// quantile of an upstream that has become too slow for every request would
// never rise. Shorter times are left out: they would lower the quantile
// although the latency is unknown.
void upstream_limiter::on_given_up(duration ran_for)
{
    if (ran_for >= latency_.quantile()) {
        latency_.add(ran_for);
    }
}

bool upstream_limiter::turn_cold()
{
    if (!open() || !settings_->ramp) {
        return false;
    }
    auto const changed = state_ != limiter_state::cold;
    reopen();
    return changed;
}

void upstream_limiter::on_reported_load(time_point now, std::uint32_t excess)
{
    reported_limit_ = slots_ - std::min(excess, slots_ - 1);
    reported_until_ = now + polls_per_report * settings_->status_interval;
}

bool upstream_limiter::open() const
{
    return state_ != limiter_state::leaving && state_ != limiter_state::out;
}

std::uint32_t upstream_limiter::limit(time_point now) const
{
    if (!open()) {
        return 0;
    }
    if (held(now)) {
        return 1;
    }
    if (now < reported_until_) {
        return std::min(limit_, reported_limit_);
    }
    return limit_;
}

bool upstream_limiter::held(time_point now) const
{
    return settings_->ramp && now < held_until_;
}

void upstream_limiter::fall()
{
    good_run_ = 0;
    if (!open() || !settings_->ramp) {
        return;
    }
    limit_ = std::max(limit_, 2U) - 1;
    if (state_ == limiter_state::warm && limit_ < slots_) {
        state_ = limiter_state::warming;
    }
}

void upstream_limiter::grow(time_point now)
{
    if (!open() || !settings_->ramp) {
        return;
    }
    if (!held(now)) {
        limit_ = std::min(limit_ + 1, slots_);
    }
    state_ = limit_ < slots_ ? limiter_state::warming : limiter_state::warm;
}

} // namespace snipemill
