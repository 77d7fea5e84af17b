#pragma once

#include <cstdint>

namespace snipemill {

struct keep_alive_settings
{
    // All in ticks without input; 0: never.
    std::uint32_t ping_after = 2;
    std::uint32_t silent_after = 5;
    std::uint32_t close_after = 100;
};

// What a connection with open streams does at a tick.
enum class keep_alive_step : std::uint8_t
{
    none,
    ping,
    silent, // the peer counts as silent from now on
    close
};

// Finds a silent peer by counting regular ticks without input. It counts
// ticks instead of time because a host that was paused itself gets one late
// tick, and reads what has arrived meanwhile before the next one.
class keep_alive
{
public:
    explicit keep_alive(keep_alive_settings const& settings)
        : settings_(settings)
    {}

    // Ticks begin. A peer that is known to be silent stays so until it sends
    // something.
    void start(bool silent)
    {
        quiet_ = 0;
        silent_ = silent;
    }

    // Returns whether the peer was silent until now.
    bool on_input()
    {
        quiet_ = 0;
        auto const was_silent = silent_;
        silent_ = false;
        return was_silent;
    }

    keep_alive_step on_tick()
    {
        ++quiet_;
        if (quiet_ == settings_.close_after) {
            return keep_alive_step::close;
        }
        if (quiet_ == settings_.ping_after) {
            return keep_alive_step::ping;
        }
        if (quiet_ == settings_.silent_after && !silent_) {
            silent_ = true;
            return keep_alive_step::silent;
        }
        return keep_alive_step::none;
    }

    bool silent() const { return silent_; }

private:
    keep_alive_settings settings_;
    std::uint32_t quiet_ = 0; // ticks since the last input
    bool silent_ = false;
};

} // namespace snipemill
