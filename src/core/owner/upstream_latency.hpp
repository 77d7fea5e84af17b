#pragma once

#include "core/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace snipemill {

// Learned 95 % quantile of the latency of one upstream: a histogram with
// buckets that grow by a quarter of a power of two, in constant memory. Counts
// are halved at intervals, so the quantile follows the last few hundred
// answers.
class upstream_latency
{
public:
    void add(duration latency);
    // Takes over a quantile that another owner has learned.
    void seed(duration quantile);
    void clear();

    // 0 until enough answers have been seen.
    duration quantile() const { return quantile_; }

private:
    static constexpr std::size_t buckets = 112; // 1 us to 268 s
    static constexpr std::uint32_t min_samples = 16;
    static constexpr std::uint32_t max_samples = 512; // counts are then halved
    // Walking the histogram on each answer costs more than the rest of the
    // limiter.
    static constexpr std::uint32_t update_every = 8;

    static std::size_t bucket_of(duration latency);
    static duration upper_bound_of(std::size_t bucket);
    void halve();
    duration compute() const;

    std::array<std::uint16_t, buckets> counts_{};
    std::uint32_t total_ = 0;
    std::uint32_t since_update_ = 0;
    duration quantile_{};
};

} // namespace snipemill
