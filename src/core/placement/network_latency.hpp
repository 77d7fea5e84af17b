#pragma once

#include "core/base/time.hpp"

#include <algorithm>
#include <string>
#include <unordered_map>

namespace snipemill {

// How much longer a round trip to each data centre takes than one to the
// nearest, from the time that connections take to set up. A set-up needs one
// round trip and does no work, so its shortest time does not depend on load.
class network_latency
{
public:
    void on_connected(std::string const& data_centre, duration elapsed,
                      time_point now);
    // Zero for a data centre that no connection was made to.
    duration extra(std::string const& data_centre) const;

private:
    // The minimum of the current period and of the one before, so that a
    // longer way is learned when the shorter one is gone.
    struct shortest
    {
        duration current = duration::max();
        duration previous = duration::max();
        time_point period_began{};

        duration value() const { return std::min(current, previous); }
    };

    std::unordered_map<std::string, shortest> by_data_centre_;
    duration least_{}; // of all data centres
};

} // namespace snipemill
