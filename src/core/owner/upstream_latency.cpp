#include "core/owner/upstream_latency.hpp"

#include <algorithm>
#include <bit>

namespace snipemill {

namespace {

constexpr double quantile_wanted = 0.95;

} // namespace

void upstream_latency::add(duration latency)
{
    ++counts_[bucket_of(latency)];
    ++total_;
    ++since_update_;
    if (total_ >= max_samples) {
        halve();
    }
    if (total_ >= min_samples && since_update_ >= update_every) {
        quantile_ = compute();
        since_update_ = 0;
    }
}

void upstream_latency::seed(duration quantile)
{
    if (quantile <= duration{}) {
        return;
    }
    clear();
    counts_[bucket_of(quantile)] = min_samples;
    total_ = min_samples;
    quantile_ = quantile;
}

void upstream_latency::clear()
{
    *this = upstream_latency{};
}

// Two bits after the leading one choose the bucket within a power of two.
std::size_t upstream_latency::bucket_of(duration latency)
{
    auto const us =
        static_cast<std::uint64_t>(std::max<std::int64_t>(latency.count(), 4));
    auto const power = static_cast<std::size_t>(std::bit_width(us)) - 1;
    auto const part = (us >> (power - 2)) & 3U;
    return std::min(4 * power + part, buckets - 1);
}

duration upstream_latency::upper_bound_of(std::size_t bucket)
{
    auto const power = bucket / 4;
    auto const part = bucket % 4;
    auto const quarter = std::int64_t{1} << (power < 2 ? 0 : power - 2);
    return duration(static_cast<std::int64_t>(4 + part + 1) * quarter);
}

void upstream_latency::halve()
{
    total_ = 0;
    for (auto& n : counts_) {
        n = static_cast<std::uint16_t>(n / 2);
        total_ += n;
    }
}

duration upstream_latency::compute() const
{
    auto const above =
        static_cast<std::uint32_t>((1.0 - quantile_wanted) * total_);
    std::uint32_t seen = 0;
    for (auto i = buckets; i-- > 0;) {
        seen += counts_[i];
        if (seen > above) {
            return upper_bound_of(i);
        }
    }
    return {};
}

} // namespace snipemill
