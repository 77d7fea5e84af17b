#pragma once

#include "core/base/rng.hpp"
#include "core/config/config_spread.hpp"

#include <cstdint>

namespace snipemill {

// Reads and watches config/head, one call at a time, and backs off while the
// platform fails.
class platform_reader
{
public:
    platform_reader(config_spread_settings const& settings, rng& random);

    // wanted: whether this host has to read at all.
    void run(time_point now, bool wanted, std::uint64_t have,
             spread_actions& out);
    void on_read(std::uint64_t revision);
    // The read succeeded but did not reach the number of the head.
    void on_gap(time_point now);
    void on_watch(bool changed, std::uint64_t revision);
    void on_failed(time_point now);

    bool has_read() const { return has_read_; }
    // Whether the last call that ended succeeded.
    bool healthy() const { return has_read_ && !failed_; }
    time_point next_timer() const;

private:
    enum class phase : std::uint8_t
    {
        idle,
        waiting, // for the end of the back-off
        reading,
        watching
    };

    config_spread_settings settings_;
    rng& random_;
    phase phase_ = phase::idle;
    bool has_read_ = false;
    bool failed_ = false;
    bool stale_ = true; // the head may be newer than what was read
    std::uint64_t revision_ = 0;
    duration delay_{};
    time_point retry_at_{};
};

} // namespace snipemill
