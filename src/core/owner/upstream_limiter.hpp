#pragma once

#include "core/owner/owner_engine.hpp"
#include "core/owner/upstream_latency.hpp"

#include <cstdint>
#include <optional>

namespace snipemill {

enum class limiter_state : std::uint8_t
{
    cold,
    warming,
    warm,
    leaving,
    out
};

inline constexpr name_table<limiter_state, 5> limiter_state_names{{
    {limiter_state::cold, "cold"},
    {limiter_state::warming, "warming"},
    {limiter_state::warm, "warm"},
    {limiter_state::leaving, "leaving"},
    {limiter_state::out, "out"},
}};

// Decides when one upstream may be sent the next request. The limit never
// exceeds the declared slots.
class upstream_limiter
{
public:
    upstream_limiter(owner_engine_settings const& settings,
                     std::uint32_t slots);

    void set_slots(std::uint32_t slots);
    // Keeps the limit at 1 until this time, because another host may still
    // use the upstream.
    void hold(time_point until) { held_until_ = until; }
    // Continues with the state that the previous owner passed on.
    void adopt(upstream_gauge const& state);
    // No new work. state is leaving or out.
    void close(limiter_state state);
    // New work again, from cold.
    void reopen();

    bool may_start(time_point now, std::uint32_t in_flight) const;
    // When a start that is now refused only for its pace becomes possible.
    std::optional<time_point> next_start(std::uint32_t in_flight) const;

    void on_start(time_point now) { last_start_ = now; }
    void on_answer(time_point now, duration latency);
    void on_good(time_point now);
    void on_shed() { fall(); }
    // ran_for: from dispatch to the deadline.
    void on_timeout(duration ran_for);
    // The request was cancelled after it had run for this time.
    void on_given_up(duration ran_for);
    // Returns whether the state was not cold before.
    bool turn_cold();
    // excess: requests that the upstream reports beyond those of this host.
    void on_reported_load(time_point now, std::uint32_t excess);

    limiter_state state() const { return state_; }
    bool open() const;
    // Without a hold or a reported load.
    std::uint32_t limit() const { return open() ? limit_ : 0; }
    // In force now.
    std::uint32_t limit(time_point now) const;
    duration latency_quantile() const { return latency_.quantile(); }

private:
    void fall();
    void grow(time_point now);
    bool held(time_point now) const;

    owner_engine_settings const* settings_;
    upstream_latency latency_;
    limiter_state state_ = limiter_state::cold;
    std::uint32_t slots_;
    std::uint32_t limit_ = 1;
    std::uint32_t good_run_ = 0;
    std::uint32_t reported_limit_ = 0; // valid before reported_until_
    time_point reported_until_ = time_point::min();
    time_point held_until_ = time_point::min();
    std::optional<time_point> last_start_;
};

} // namespace snipemill
