#pragma once

#include "testbed/fleet.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace testbed {

// Which hosts of a fleet get load, and which of its upstreams get work.

// Callers' targets at the hosts that are ready, as a balancer sees them.
std::vector<load_target> ready_targets(fleet& f);

// Callers' targets at the hosts of the other data centres. Hosts of a data
// centre that is out refuse queries.
std::vector<load_target> targets_outside(fleet& f,
                                         std::string const& data_centre);

// One counter of an upstream. Throws when the upstream gives no counters.
std::int64_t upstream_counter(fleet& f, std::size_t upstream, char const* name);

// Waits until each of the upstreams has got a request that arrived after this
// time, in ms of the upstreams' clock "now_ms"; false when the limit of
// wait_until is over first.
bool all_serve(fleet& f, std::vector<std::size_t> const& upstreams,
               std::int64_t after);

} // namespace testbed
