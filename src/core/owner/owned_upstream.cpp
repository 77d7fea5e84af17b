#include "core/owner/owned_upstream.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

owned_upstream::owned_upstream(owner_engine_settings const& settings,
                               upstream_listing listed,
                               timer_id timer_of_upstream)
    : listing(std::move(listed)), limiter(settings, listing.slots),
      queue(settings.max_queue), timer(timer_of_upstream), settings_(&settings)
{}

std::optional<limiter_state> owned_upstream::closed_state() const
{
    if (!listing.data_centre_in) {
        return limiter_state::out;
    }
    if (draining || listing.object.state == upstream_state::leaving) {
        return limiter_state::leaving;
    }
    return std::nullopt;
}

upstream_condition owned_upstream::condition() const
{
    switch (limiter.state()) {
    case limiter_state::cold:
        return upstream_condition::cold;
    case limiter_state::leaving:
        return upstream_condition::leaving;
    case limiter_state::out:
        return upstream_condition::out;
    case limiter_state::warming:
        return queue.empty() ? upstream_condition::warming
                             : upstream_condition::saturated;
    case limiter_state::warm:
        return queue.empty() ? upstream_condition::warm
                             : upstream_condition::saturated;
    }
    return upstream_condition::unknown;
}

upstream_gauge owned_upstream::gauge() const
{
    return {.upstream = id(),
            .condition = condition(),
            .limit = limiter.limit(),
            .in_flight = in_flight,
            .queued = static_cast<std::uint32_t>(queue.size()),
            .latency_quantile = limiter.latency_quantile()};
}

void owned_upstream::on_dispatched()
{
    ++in_flight;
    peak_ = std::max(peak_, in_flight);
    used_since_poll_ = true;
}

void owned_upstream::on_polled(time_point now)
{
    last_poll_ = now;
    used_since_poll_ = in_flight > 0;
    // Reports lag. Polls in quick succession must not shorten the time over
    // which the highest number in flight is known; half an interval allows for
    // a regular poll that comes a little early.
    if (now - peak_since_ >= settings_->status_interval / 2) {
        peak_since_ = now;
        last_peak_ = std::exchange(peak_, in_flight);
    }
}

time_point owned_upstream::poll_due() const
{
    auto const state = limiter.state();
    auto const ramping =
        state == limiter_state::cold || state == limiter_state::warming;
    if (next_poll == timer_queue::never || !last_poll_ || !ramping ||
        !used_since_poll_) {
        return next_poll;
    }
    return std::min(next_poll, *last_poll_ + settings_->ramp_status_interval);
}

std::uint32_t owned_upstream::excess_load(std::uint32_t reported) const
{
    auto const own = std::max(peak_, last_peak_);
    return std::max(reported, own) - own;
}

void owned_upstream::set_draining(time_point now)
{
    draining = true;
    draining_since_ = now;
}

bool owned_upstream::report_is_newer_than_mark() const
{
    return last_poll_ && *last_poll_ >= draining_since_;
}

void owned_upstream::set_held(std::vector<held_version> versions)
{
    held = std::move(versions);
    held_known = true;
    list_held_versions();
}

void owned_upstream::keep_held(std::vector<index_version> const& versions)
{
    std::vector<held_version> kept;
    kept.reserve(versions.size());
    for (auto const version : versions) {
        auto* const known = find_held(version);
        kept.push_back(known != nullptr ? std::move(*known)
                                        : held_version{.version = version});
    }
    held = std::move(kept);
    list_held_versions();
}

void owned_upstream::note_answer(sub_answer const& answer)
{
    auto* known = find_held(answer.version);
    if (known == nullptr) {
        known = &held.emplace_back(held_version{.version = answer.version});
        held_versions.push_back(answer.version);
    }
    if (known->partition_count == 0) {
        known->partition_count = answer.partition_count;
        known->partitions = answer.partitions;
    }
}

held_version* owned_upstream::find_held(index_version version)
{
    auto const it = std::find_if(
        held.begin(), held.end(),
        [version](held_version const& h) { return h.version == version; });
    return it != held.end() ? &*it : nullptr;
}

void owned_upstream::list_held_versions()
{
    held_versions.clear();
    for (auto const& it : held) {
        held_versions.push_back(it.version);
    }
}

} // namespace snipemill
