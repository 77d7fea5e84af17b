#pragma once

#include "core/base/time.hpp"
#include "core/forward/relay_plan.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace snipemill {

// Place of the host in the order in which the hosts of a fleet decide on
// rollouts; every host orders the fleet in the same way. None for a host
// without an entry or without a port for other hosts: it gets no reports.
std::optional<std::size_t> decider_rank(std::vector<fleet_host> const& hosts,
                                        std::string const& own);

// Time without an instruction after which the host of this rank takes over.
// Several instructions (each 250 ms) may be lost, and the host before it has
// time for its first one.
duration takeover_delay(std::size_t rank);

} // namespace snipemill
