#include "core/query/target_planner.hpp"

namespace snipemill {

namespace {

// Positions in the newest view of the replicas of a service of the run.
std::span<topology_index const> replicas(query_shared& shared,
                                         target_planner::request const& wanted)
{
    auto const& old = wanted.view.routes->config();
    auto const& now = shared.routes->config();
    auto const& service = wanted.view.service(wanted.service);
    if (&old == &now) {
        return service.upstreams;
    }
    auto& positions = shared.replica_positions;
    positions.clear();
    for (auto const u : service.upstreams) {
        auto const& object = old.upstreams()[u].object;
        auto const position = shared.routes->find(object.id, u);
        if (position &&
            now.upstreams()[*position].object.service == object.service) {
            positions.push_back(*position);
        }
    }
    return positions;
}

void add_to_plan(query_shared& shared, std::uint32_t service,
                 topology_index position, host_index host)
{
    shared.plan.push_back(
        {.host = host,
         .position = position,
         .service = service,
         .upstream = shared.routes->config().upstreams()[position].object.id});
}

} // namespace

bool target_planner::plan_replica(query_shared& shared, time_point now,
                                  request const& wanted)
{
    auto const position = shared.replicas.choose(
        now, *shared.routes, shared.catalogue, shared.random,
        {.replicas = replicas(shared, wanted),
         .version = wanted.view.version,
         .tried = wanted.tried,
         .extra = wanted.extra,
         .hedge = wanted.hedge});
    if (!position) {
        return false;
    }
    auto const& route = shared.routes->route(*position);
    add_to_plan(shared, wanted.service, *position, route.first);
    shared.plan.back().by_second = route.by_second;
    return true;
}

bool target_planner::plan_other_owner(query_shared& shared,
                                      sub_attempt const& failed,
                                      host_id const& lost)
{
    auto const position = shared.routes->find(failed.upstream, failed.position);
    if (!position || !shared.routes->can_serve(*position)) {
        return false;
    }
    auto const& route = shared.routes->route(*position);
    auto const first_lost = shared.routes->host(route.first) == lost;
    auto const host = first_lost ? route.second : route.first;
    if (host == no_host || route.silent) {
        return false;
    }
    add_to_plan(shared, failed.service, *position, host);
    return true;
}

} // namespace snipemill
