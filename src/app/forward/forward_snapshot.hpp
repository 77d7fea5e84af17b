#pragma once

#include "core/forward/crash_guard.hpp"
#include "core/forward/gather_index.hpp"
#include "core/forward/manifest.hpp"
#include "core/forward/relay_plan.hpp"
#include "core/forward/route_index.hpp"
#include "core/forward/upstream_record.hpp"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace snipemill {

// A manifest with the indexes of its routes.
struct indexed_manifest
{
    explicit indexed_manifest(std::shared_ptr<manifest const> from)
        : state(std::move(from)), routes(*state), gathers(*state)
    {}

    std::shared_ptr<manifest const> state;
    route_index routes;
    gather_index gathers;
};

// State that the control thread publishes to the traffic thread.
struct forward_snapshot
{
    // Null before the first manifest.
    std::shared_ptr<indexed_manifest const> current;
    std::vector<upstream_record> upstreams;
    std::set<std::string> evacuated; // data centres
    std::vector<fleet_host> hosts;   // of the fleet; empty until listed
    std::vector<crash_entry> crashes;
    bool complete = false; // has a manifest, upstreams, evacuations
    std::uint64_t upstreams_revision = 0;
};

} // namespace snipemill
