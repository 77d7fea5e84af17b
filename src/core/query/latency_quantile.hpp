#pragma once

#include "core/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace snipemill {

// Estimates quantiles of recent latencies in constant memory: a histogram
// with 8 buckets per power of two, so an estimate is at most 12.5% too high.
// All counts are halved from time to time, which makes old samples fade.
class latency_quantile
{
public:
    void add(duration latency);

    // Upper bound of the bucket that holds the quantile; no value until
    // enough samples have arrived.
    std::optional<duration> estimate(double quantile) const;

private:
    static constexpr std::uint32_t min_samples = 20;
    static constexpr std::uint32_t max_samples = 8192; // then counts halve
    static constexpr unsigned sub_bits = 3;            // 8 buckets per octave
    static constexpr unsigned max_bits = 27;           // up to 134 s
    static constexpr std::size_t buckets = (max_bits - sub_bits + 1)
                                           << sub_bits;

    static std::size_t bucket_of(std::uint64_t micros);
    static std::uint64_t upper_bound_of(std::size_t bucket);
    void halve();

    std::array<std::uint32_t, buckets> counts_{};
    std::uint32_t total_ = 0;
};

} // namespace snipemill
