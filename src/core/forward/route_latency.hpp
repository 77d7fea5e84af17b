#pragma once

#include "core/base/time.hpp"
#include "core/query/latency_quantile.hpp"

namespace snipemill {

// Latency statistics of the successful exchanges of one route.
class route_latency
{
public:
    void add(duration latency);
    // Moving mean; 0 until there is a sample.
    duration mean() const { return mean_; }
    // Delay after which a hedge starts; `fallback` until there are enough
    // samples.
    duration hedge_delay(duration fallback) const;

private:
    latency_quantile histogram_;
    duration mean_{};
    duration quantile_{};
    unsigned samples_since_update_ = 0;
};

} // namespace snipemill
