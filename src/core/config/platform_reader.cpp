#include "core/config/platform_reader.hpp"

#include <algorithm>

namespace snipemill {

platform_reader::platform_reader(config_spread_settings const& settings,
                                 rng& random)
    : settings_(settings), random_(random)
{}

void platform_reader::run(time_point now, bool wanted, std::uint64_t have,
                          spread_actions& out)
{
    if (phase_ == phase::waiting && retry_at_ <= now) {
        phase_ = phase::idle;
    }
    if (phase_ != phase::idle) {
        return;
    }
    if (!wanted) {
        // What was read is out of date when this host has to read again.
        stale_ = true;
        return;
    }
    if (stale_) {
        phase_ = phase::reading;
        out.push_back(read_config{have});
        return;
    }
    phase_ = phase::watching;
    out.push_back(watch_config{revision_, settings_.watch_timeout});
}

void platform_reader::on_read(std::uint64_t revision)
{
    if (phase_ == phase::reading) {
        phase_ = phase::idle;
        stale_ = false;
        revision_ = revision;
    }
    has_read_ = true;
    failed_ = false;
    delay_ = duration::zero();
}

void platform_reader::on_gap(time_point now)
{
    stale_ = true;
    phase_ = phase::waiting;
    retry_at_ = now + settings_.platform_retry_min;
}

void platform_reader::on_watch(bool changed, std::uint64_t revision)
{
    if (phase_ == phase::watching) {
        phase_ = phase::idle;
    }
    failed_ = false;
    delay_ = duration::zero();
    // A lower revision is that of a store restored from an older copy: a watch
    // from the old one would show nothing until the store has passed it.
    stale_ = stale_ || changed || revision < revision_;
    revision_ = revision;
}

void platform_reader::on_failed(time_point now)
{
    // Half of the delay is random, so that hosts do not come back together.
    delay_ = std::clamp(2 * delay_, settings_.platform_retry_min,
                        settings_.platform_retry_max);
    auto const jitter =
        std::chrono::duration_cast<duration>(delay_ / 2 * random_.unit());
    phase_ = phase::waiting;
    retry_at_ = now + delay_ / 2 + jitter;
    failed_ = true;
    // A change may have been missed.
    stale_ = true;
}

time_point platform_reader::next_timer() const
{
    return phase_ == phase::waiting ? retry_at_ : time_point::max();
}

} // namespace snipemill
