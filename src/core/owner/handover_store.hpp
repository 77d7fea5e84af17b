#pragma once

#include "core/owner/owner_engine.hpp"

#include <optional>
#include <vector>

namespace snipemill {

// Limiter states that arrived before the view that gives this host the
// upstreams. Bounded, because they come from the network.
class handover_store
{
public:
    void put(time_point now, duration lifetime, upstream_gauge const& state);
    std::optional<upstream_gauge> take(time_point now, upstream_id id);

private:
    struct entry
    {
        upstream_gauge state;
        time_point until{};
    };

    std::vector<entry> entries_;
};

} // namespace snipemill
