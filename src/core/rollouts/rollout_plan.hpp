#pragma once

#include "core/base/name_table.hpp"
#include "core/rollouts/rollout_bounds.hpp"

#include <cstddef>
#include <cstdint>

namespace snipemill {

struct rollout_plan_settings
{
    // Time in which the rate of requests is observed before the first one goes
    // to the new version.
    duration observe = from_ms(800);
    // Parts of the canary share and of the slack that are used before the
    // final phase is near. The slack matters where requests are few.
    double hold_part = 0.5;
    double slack_part = 0.7;
    double widen_after = 0.75;         // of the duration
    double final_part = 0.07;          // of the duration, for the final phase
    duration min_final = from_ms(900); // messages, open requests, the write
    duration max_final = from_ms(4000);
    // Pulses of the duration in which new upstreams get as much as old ones.
    double pulses = 8;
    duration min_pulse = from_ms(1000);
    duration max_pulse = from_ms(10'000);
    double max_share = 0.8; // before the final phase
    // Time for which requests are sent that no report contains yet.
    duration report_lag = from_ms(400);
    // Time before the limit at which the rollout ends although a host has not
    // confirmed the move: two calls of the store.
    duration end_margin = from_ms(400);
};

enum class rollout_phase : std::uint8_t
{
    hold,
    ramp,
    all // all requests go to the new version
};

inline constexpr name_table<rollout_phase, 3> rollout_phase_names{{
    {rollout_phase::hold, "hold"},
    {rollout_phase::ramp, "ramp"},
    {rollout_phase::all, "all"},
}};

struct rollout_progress
{
    duration elapsed{};         // since the order
    duration time_limit{};      // of the order
    std::uint64_t requests = 0; // to the service so far
    std::uint64_t target_requests = 0;
    std::size_t old_upstreams = 0;
    std::size_t new_upstreams = 0;
};

struct rollout_step
{
    rollout_phase phase = rollout_phase::hold;
    double share = 0;

    friend bool operator==(rollout_step const&, rollout_step const&) = default;
};

// Decides how large the share of the new version may be. Failures: a version
// that is bad, and for that may get only the canary share of all requests, and
// one that turns bad late or under load, which a small even share does not
// show.
class rollout_plan
{
public:
    explicit rollout_plan(rollout_bounds const& bounds,
                          rollout_plan_settings const& settings = {})
        : bounds_(bounds), settings_(settings)
    {}

    rollout_step step(rollout_progress const& it) const;
    // Time after the order at which all requests go to the new version.
    duration final_at(duration time_limit) const;
    duration end_margin() const { return settings_.end_margin; }

private:
    double hold_share(rollout_progress const& it, double rate) const;
    double ramp_share(rollout_progress const& it, double rate) const;
    // Requests that the new version may still get.
    double allowance(rollout_progress const& it) const;

    rollout_bounds bounds_;
    rollout_plan_settings settings_;
};

} // namespace snipemill
