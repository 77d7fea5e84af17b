#pragma once

#include "core/forward/manifest.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipemill {

// Divides the requests of weighted routes by smooth weighted round robin: over
// any span of requests each part is within one request of its share.
class weighted_rotation
{
public:
    // Index of the part that takes the next request of the route. Changed
    // weights start a new rotation.
    std::size_t next(std::string const& route, weighted_target const& target);

private:
    struct rotation
    {
        std::vector<std::uint32_t> weights;
        std::vector<std::int64_t> credit;
    };

    std::unordered_map<std::string, rotation> rotations_;
};

} // namespace snipemill
