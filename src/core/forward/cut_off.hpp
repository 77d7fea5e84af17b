#pragma once

#include "core/forward/manifest.hpp"
#include "core/forward/upstream_fleet.hpp"

namespace snipemill {

// Whether this host is cut off: no upstream of another data centre is
// reachable, and a route that hosts of other data centres can serve cannot be
// served with the reachable upstreams. Load pattern: a data centre is cut off.
// Callers still reach its hosts, so the hosts leave the load balancer's
// rotation and callers go to other data centres. Upstreams that are down for
// all hosts do not count, since no other host could serve the route either.
bool is_cut_off(manifest const& state, upstream_fleet const& fleet);

} // namespace snipemill
