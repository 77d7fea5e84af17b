#pragma once

#include "core/base/time.hpp"

#include <cstdint>
#include <optional>

namespace snipemill {

struct trial_settings
{
    // From the last crash to the first trial: every host knows of the crash
    // then. Each further trial waits for twice as long.
    duration first_delay = from_ms(3000);
    std::uint32_t max_trials = 3;
};

// When a refused request is sent to one upstream again, which shows whether the
// upstreams ended because of it. A request that goes on ending upstreams ends
// max_trials more.
class trial_schedule
{
public:
    explicit trial_schedule(trial_settings const& settings)
        : settings_(settings)
    {}

    // Time of the next trial after `made` trials; last_news is the time of the
    // last crash or trial. While no upstream is spare, a trial would take the
    // last one of its service, and waits for twice as long. None when all
    // trials have been made.
    std::optional<time_point> next(std::uint32_t made, time_point last_news,
                                   bool spare) const
    {
        if (made >= settings_.max_trials) {
            return std::nullopt;
        }
        return last_news +
               settings_.first_delay * (1U << (made + (spare ? 0U : 1U)));
    }
    trial_settings const& settings() const { return settings_; }

private:
    trial_settings settings_;
};

} // namespace snipemill
