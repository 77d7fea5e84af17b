#pragma once

#include "core/base/time.hpp"

namespace snipemill {

// Joins changes that come in quick succession: the first one is due at once,
// those of the following interval are due together after it.
class paced_change
{
public:
    explicit paced_change(duration interval) : interval_(interval) {}

    void mark() { waiting_ = true; }
    // Whether a change is due now; it then counts as handled.
    bool take(time_point now)
    {
        if (!waiting_ || now < next_) {
            return false;
        }
        waiting_ = false;
        next_ = now + interval_;
        return true;
    }

private:
    duration interval_;
    time_point next_ = time_point::min();
    bool waiting_ = false;
};

} // namespace snipemill
