#include "core/forward/shard_changes.hpp"

#include <algorithm>

namespace snipemill {

std::vector<std::string> routes_with_other_shards(manifest const& before,
                                                  manifest const& after)
{
    std::vector<std::string> out;
    for (auto const& route : after.routes) {
        auto const* const target = std::get_if<gather_target>(&route.target);
        auto const old = std::find_if(
            before.routes.begin(), before.routes.end(),
            [&](forward_route const& it) { return it.name == route.name; });
        if (!target || old == before.routes.end()) {
            continue;
        }
        auto const* const former = std::get_if<gather_target>(&old->target);
        if (!former || former->shards != target->shards) {
            out.push_back(route.name);
        }
    }
    return out;
}

} // namespace snipemill
