#pragma once

#include "core/base/time.hpp"

#include <algorithm>
#include <chrono>

namespace snipemill {

// Delays connection set-ups after failures; the delay doubles up to a limit.
class connect_backoff
{
public:
    using clock = std::chrono::steady_clock;

    explicit connect_backoff(duration first = from_ms(50),
                             duration longest = from_ms(2000))
        : first_(first), longest_(longest)
    {}

    bool blocked() const { return clock::now() < until_; }
    clock::time_point until() const { return until_; }
    void succeeded() { delay_ = duration::zero(); }
    void failed()
    {
        if (blocked()) {
            return; // part of the same failure
        }
        delay_ = std::clamp(delay_ * 2, first_, longest_);
        until_ = clock::now() + delay_;
    }

private:
    duration first_;
    duration longest_;
    duration delay_{};
    clock::time_point until_{};
};

} // namespace snipemill
