#pragma once

#include "core/base/rng.hpp"
#include "core/base/time.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace snipemill {

// Stops calls to a server after failures in a row. After the open time one
// trial call decides; the open time doubles with each failed trial.
class circuit_breaker
{
public:
    using clock = std::chrono::steady_clock;

    circuit_breaker(std::uint32_t failures, duration first, duration longest,
                    std::uint64_t seed)
        : limit_(failures), first_(first), longest_(longest), random_(seed)
    {}

    bool closed() const { return failures_ < limit_; }
    // Time until the trial call; spread, so that the fleet's hosts do not
    // return at the same moment.
    duration trial_delay()
    {
        auto const part = 0.75 + 0.5 * random_.unit();
        return std::chrono::duration_cast<duration>(open_time_ * part);
    }
    // Returns whether the breaker has closed by it.
    bool succeeded()
    {
        bool const was_open = !closed();
        failures_ = 0;
        open_time_ = duration::zero();
        return was_open;
    }
    // Returns whether the breaker has opened by it.
    bool failed()
    {
        failures_ = std::min(failures_ + 1, limit_);
        if (closed() || open_time_ > duration::zero()) {
            return false;
        }
        open_time_ = first_;
        return true;
    }
    void trial_failed() { open_time_ = std::min(open_time_ * 2, longest_); }

private:
    std::uint32_t limit_;
    duration first_;
    duration longest_;
    duration open_time_{};
    std::uint32_t failures_ = 0;
    rng random_;
};

} // namespace snipemill
