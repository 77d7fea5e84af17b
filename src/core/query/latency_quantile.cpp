#include "core/query/latency_quantile.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace snipemill {

void latency_quantile::add(duration latency)
{
    auto const micros = std::max<std::int64_t>(latency.count(), 0);
    ++counts_[bucket_of(static_cast<std::uint64_t>(micros))];
    ++total_;
    if (total_ >= max_samples) {
        halve();
    }
}

std::optional<duration> latency_quantile::estimate(double quantile) const
{
    if (total_ < min_samples) {
        return std::nullopt;
    }
    auto const share = std::clamp(quantile, 0.0, 1.0);
    auto const wanted = std::max(std::ceil(share * total_), 1.0);
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < buckets; ++i) {
        seen += counts_[i];
        if (static_cast<double>(seen) >= wanted) {
            return duration(upper_bound_of(i));
        }
    }
    return duration(upper_bound_of(buckets - 1));
}

std::size_t latency_quantile::bucket_of(std::uint64_t micros)
{
    constexpr std::uint64_t largest = (std::uint64_t{1} << max_bits) - 1;
    auto const v = std::min(micros, largest);
    if (v < (1U << sub_bits)) {
        return v;
    }
    auto const shift = static_cast<unsigned>(std::bit_width(v)) - 1 - sub_bits;
    auto const octave = (shift + 1) << sub_bits;
    return octave + ((v >> shift) & ((1U << sub_bits) - 1));
}

std::uint64_t latency_quantile::upper_bound_of(std::size_t bucket)
{
    if (bucket < (1U << sub_bits)) {
        return bucket;
    }
    auto const shift = (bucket >> sub_bits) - 1;
    auto const low = (bucket & ((1U << sub_bits) - 1)) | (1U << sub_bits);
    return ((low + 1) << shift) - 1;
}

void latency_quantile::halve()
{
    total_ = 0;
    for (auto& it : counts_) {
        it /= 2;
        total_ += it;
    }
}

} // namespace snipemill
