#pragma once

#include "cli/arguments.hpp"
#include "cli/fleet.hpp"

#include <cstdint>
#include <vector>

namespace snipemill::cli {

bool in_force_everywhere(std::vector<fleet_host> const& fleet,
                         std::uint64_t number);

// Prints which hosts have the ticket in force, and for the others since when
// they lack it or cannot be reached.
void print_spread(std::vector<fleet_host> const& fleet, std::uint64_t number,
                  output_format format);

} // namespace snipemill::cli
