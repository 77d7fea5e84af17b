#include "core/forward/cut_off.hpp"

#include "core/base/overloaded.hpp"
#include "core/forward/required_shards.hpp"

#include <algorithm>
#include <string>
#include <variant>

namespace snipemill {

namespace {

// Whether requests to the service or target could be served if every listed
// upstream were reachable, and cannot be served with the reachable upstreams. A
// weighted target counts as unserved if one of its services is.
bool unserved_when_cut_off(upstream_fleet const& fleet,
                           std::string const& service)
{
    return fleet.listed(service) && !fleet.reachable(service);
}

bool unserved_when_cut_off(upstream_fleet const& fleet,
                           gather_target const& target)
{
    auto const count = [&](auto const& f) {
        return static_cast<std::size_t>(
            std::count_if(target.shards.begin(), target.shards.end(), f));
    };
    auto const needed = required_shards(target);
    return count([&](auto const& it) { return fleet.listed(it); }) >= needed &&
           count([&](auto const& it) { return fleet.reachable(it); }) < needed;
}

bool unserved_when_cut_off(upstream_fleet const& fleet,
                           route_target const& target)
{
    return std::visit(
        overloaded{[&](single_target const& it) {
                       return unserved_when_cut_off(fleet, it.service);
                   },
                   [&](weighted_target const& it) {
                       return std::any_of(it.services.begin(),
                                          it.services.end(),
                                          [&](auto const& part) {
                                              return unserved_when_cut_off(
                                                  fleet, part.service);
                                          });
                   },
                   [&](gather_target const& it) {
                       return unserved_when_cut_off(fleet, it);
                   }},
        target);
}

} // namespace

bool is_cut_off(manifest const& state, upstream_fleet const& fleet)
{
    return fleet.isolated() &&
           std::any_of(state.routes.begin(), state.routes.end(),
                       [&](auto const& it) {
                           return unserved_when_cut_off(fleet, it.target);
                       });
}

} // namespace snipemill
