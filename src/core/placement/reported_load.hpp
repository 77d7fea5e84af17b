#pragma once

#include <cstdint>
#include <optional>

namespace snipemill {

// Load that an upstream reported: requests that run and that wait.
struct reported_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // How long work takes on its machine at this moment, 1.0 as usual. No value
    // from upstreams that report three fields.
    std::optional<double> speed;
};

} // namespace snipemill
