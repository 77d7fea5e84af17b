#include "core/forward/route_latency.hpp"

namespace snipemill {

namespace {

// A second upstream is asked after this quantile: one request in ten, half of
// what a repeat ratio of 0.2 allows, which leaves room for retries.
constexpr double hedge_quantile = 0.9;

// Weight of a sample in the mean: 1 / 16, about the last 30 answers.
constexpr int mean_divisor = 16;

// The histogram is walked once for this many samples, since the walk costs
// more than the rest of an answer.
constexpr unsigned samples_per_update = 16;

} // namespace

void route_latency::add(duration latency)
{
    histogram_.add(latency);
    mean_ = mean_ == duration::zero()
                ? latency
                : mean_ + (latency - mean_) / mean_divisor;
    if (++samples_since_update_ >= samples_per_update ||
        quantile_ == duration::zero()) {
        samples_since_update_ = 0;
        quantile_ =
            histogram_.estimate(hedge_quantile).value_or(duration::zero());
    }
}

duration route_latency::hedge_delay(duration fallback) const
{
    return quantile_ == duration::zero() ? fallback : quantile_;
}

} // namespace snipemill
