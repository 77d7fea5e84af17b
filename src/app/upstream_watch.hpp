#pragma once

#include "core/owner/owner_engine.hpp"
#include "core/ownership/owner_table.hpp"
#include "ports/event_sink.hpp"

#include <memory>
#include <unordered_map>
#include <vector>

namespace snipemill {

// Compares the owned upstreams with the last look and reports what changed:
// ownership, condition, and the last request to a leaving upstream.
class upstream_watch
{
public:
    explicit upstream_watch(event_sink& events);

    void look(routing_view const& view,
              std::vector<upstream_gauge> const& gauges);

private:
    struct seen
    {
        upstream_condition condition = upstream_condition::unknown;
        bool busy = false;
        bool present = false; // in the current look
    };

    void compare(routing_view const& view, upstream_gauge const& gauge);
    void report_lost(routing_view const& view);

    event_sink* events_;
    std::unordered_map<upstream_id, seen> seen_;
};

} // namespace snipemill
