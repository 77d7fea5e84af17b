#pragma once

#include <algorithm>
#include <chrono>

namespace snipemill {

// Allows a number of calls per second on average, and a burst after a pause.
class call_bucket
{
public:
    using clock = std::chrono::steady_clock;

    call_bucket(double per_second, double burst)
        : per_second_(per_second), burst_(burst), tokens_(burst)
    {}

    bool take(clock::time_point now)
    {
        std::chrono::duration<double> const passed = now - last_;
        last_ = now;
        tokens_ = std::min(burst_, tokens_ + passed.count() * per_second_);
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    double per_second_;
    double burst_;
    double tokens_;
    clock::time_point last_ = clock::now();
};

} // namespace snipemill
