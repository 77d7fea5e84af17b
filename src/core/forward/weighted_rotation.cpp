#include "core/forward/weighted_rotation.hpp"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace snipemill {

std::size_t weighted_rotation::next(std::string const& route,
                                    weighted_target const& target)
{
    assert(!target.services.empty());
    std::vector<std::uint32_t> weights;
    weights.reserve(target.services.size());
    for (auto const& weighted : target.services) {
        weights.push_back(weighted.weight);
    }
    auto& it = rotations_[route];
    if (it.weights != weights) {
        it.weights = std::move(weights);
        it.credit.assign(it.weights.size(), 0);
    }
    for (std::size_t i = 0; i < it.credit.size(); ++i) {
        it.credit[i] += it.weights[i];
    }
    auto const selected = std::max_element(it.credit.begin(), it.credit.end());
    *selected -=
        std::accumulate(it.weights.begin(), it.weights.end(), std::int64_t{0});
    return static_cast<std::size_t>(selected - it.credit.begin());
}

} // namespace snipemill
