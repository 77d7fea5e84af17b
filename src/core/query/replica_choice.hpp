#pragma once

#include "core/base/rng.hpp"
#include "core/query/index_catalogue.hpp"
#include "core/query/route_table.hpp"

#include <optional>
#include <span>
#include <vector>

namespace snipemill {

// Chooses a replica for a sub-request. Replicas in this host's data centre go
// first, then those in a better condition; among equals, two are drawn at
// random and the one with the lower recent latency is taken. Replicas whose
// first owner is silent come after all others that hold the version.
class replica_choice
{
public:
    struct request
    {
        std::span<topology_index const> replicas;
        index_version version;
        std::span<upstream_id const> tried; // not chosen again
        // Skip replicas that are known not to hold the version. A first
        // attempt goes there when nobody else is left, because what is known
        // may be out of date; an extra attempt is not spent on them.
        bool extra = false;
        bool hedge = false; // skip replicas whose owner would refuse a hedge
    };

    std::optional<topology_index> choose(time_point now,
                                         route_table const& routes,
                                         index_catalogue const& catalogue,
                                         rng& random, request const& wanted);

private:
    std::vector<topology_index> best_; // reused between calls
};

} // namespace snipemill
