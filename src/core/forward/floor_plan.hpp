#pragma once

#include "core/forward/relay_plan.hpp"

#include <string>
#include <vector>

namespace snipemill {

// How floors of the store spread over a fleet. The host that has read the store
// sends them to its data centre and to the first host of each other one, which
// passes them on. Every host orders the fleet in the same way.
struct floor_plan
{
    double place = 1;                     // of store_freshness
    std::vector<fleet_host> data_centre;  // other hosts of this data centre
    std::vector<fleet_host> other_firsts; // first host of each other one

    friend bool operator==(floor_plan const&, floor_plan const&) = default;
};

// Hosts without a port for other hosts get no floors and read the store
// themselves; a host without an entry comes last.
floor_plan plan_floors(std::vector<fleet_host> const& hosts,
                       std::string const& own,
                       std::string const& own_data_centre);

} // namespace snipemill
