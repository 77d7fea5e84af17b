#pragma once

#include "core/query/attempt_table.hpp"
#include "core/query/query_shared.hpp"

#include <cstdint>
#include <memory>
#include <span>

namespace snipemill {

// The view in which a run of a query began. Its services keep their positions
// while newer views arrive.
struct run_view
{
    std::shared_ptr<route_table const> routes;
    topology_index group = 0;
    index_version version;

    topology_group const& group_entry() const
    {
        return routes->config().groups()[group];
    }
    topology_service const& service(std::uint32_t s) const
    {
        return routes->config().services()[group_entry().services[s]];
    }
};

// Chooses where a sub-request goes and adds it to shared.plan. Only upstreams
// that the newest view allows are chosen, whatever the run's view says.
class target_planner
{
public:
    struct request
    {
        run_view const& view;
        std::uint32_t service = 0;
        std::span<upstream_id const> tried;
        bool extra = false; // a retry or hedge
        bool hedge = false;
    };

    // A replica that was not tried, at its first owner.
    static bool plan_replica(query_shared& shared, time_point now,
                             request const& wanted);

    // The same upstream, at another owner than the one that was lost.
    static bool plan_other_owner(query_shared& shared,
                                 sub_attempt const& failed,
                                 host_id const& lost);
};

} // namespace snipemill
