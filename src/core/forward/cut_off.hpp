#pragma once

#include "core/forward/manifest.hpp"
#include "core/forward/upstream_fleet.hpp"

namespace snipemill {

// Whether this host is cut off from what it needs: no upstream of another data
// centre can be reached, and a route that hosts elsewhere can serve cannot be
// served with those that are left. Load pattern: a data centre is cut off.
// Callers reach it still, so its hosts take themselves out of the balancer's
// rotation and leave the callers to other data centres. Upstreams that are
// down for everybody do not count, since other hosts could not serve either.
bool is_cut_off(manifest const& state, upstream_fleet const& fleet);

} // namespace snipemill
