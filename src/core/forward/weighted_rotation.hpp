#pragma once

#include "core/forward/manifest.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipemill {

// Divides the requests of weighted routes by smooth weighted round robin: over
// any span of requests the count of each service is within one of its share.
class weighted_rotation
{
public:
    // Returns the index of the service that gets the next request of the route.
    // A change of the weights resets the rotation.
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
