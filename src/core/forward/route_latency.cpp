#include "core/forward/route_latency.hpp"

namespace snipemill {

namespace {

// Hedges start after this quantile of the latency: 1 in 10 requests is hedged,
// half of what a retry budget ratio of 0.2 allows, which leaves room for
// retries.
constexpr double hedge_quantile = 0.9;

// A sample has a weight of 1/16 in the moving mean, which covers about the last
// 30 answers.
constexpr int mean_divisor = 16;

// The quantile is updated once per this many samples, since walking the
// histogram costs more than the rest of handling an answer.
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
