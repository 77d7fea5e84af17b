#pragma once

#include "core/forward/manifest.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace snipemill {

// Number of shards that an answer must cover. The subtracted 1e-9 absorbs
// the rounding of ratios that are given as decimals.
inline std::size_t required_shards(gather_target const& target)
{
    auto const n = std::ceil(
        target.min_share * static_cast<double>(target.shards.size()) - 1e-9);
    return std::max<std::size_t>(1, static_cast<std::size_t>(n));
}

} // namespace snipemill
