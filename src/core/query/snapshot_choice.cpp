#include "core/query/snapshot_choice.hpp"

#include "core/query/coverage_counter.hpp"

#include <algorithm>

namespace snipemill {

std::optional<index_version>
snapshot_choice::choose(route_table const& routes,
                        index_catalogue const& catalogue, topology_index group)
{
    auto const& wanted = routes.config().groups()[group];
    collect(routes, catalogue, wanted);
    for (auto it = candidates_.rbegin(); it != candidates_.rend(); ++it) {
        if (it->services == wanted.services.size()) {
            return it->version;
        }
    }
    std::optional<index_version> best;
    share best_share;
    for (auto it = candidates_.rbegin(); it != candidates_.rend(); ++it) {
        auto const s = share_of(routes, catalogue, group, *it);
        if (!best || s.covered * best_share.of > best_share.covered * s.of) {
            best = it->version;
            best_share = s;
        }
    }
    return best;
}

void snapshot_choice::collect(route_table const& routes,
                              index_catalogue const& catalogue,
                              topology_group const& group)
{
    candidates_.clear();
    std::uint32_t position = 0;
    for (auto const service : group.services) {
        ++position;
        for (auto const u : routes.config().services()[service].upstreams) {
            if (!routes.can_serve(u)) {
                continue;
            }
            for (auto const& held : catalogue.upstream(u).held) {
                note(held.version, position);
            }
        }
    }
}

void snapshot_choice::note(index_version version, std::uint32_t service)
{
    auto it = std::lower_bound(
        candidates_.begin(), candidates_.end(), version,
        [](candidate const& c, index_version v) { return c.version < v; });
    if (it == candidates_.end() || it->version != version) {
        it = candidates_.insert(it, {.version = version});
    }
    if (it->last_service != service) {
        it->last_service = service;
        ++it->services;
    }
}

// Partitions over the partition count when both are known, else services that
// hold the version over all services.
snapshot_choice::share
snapshot_choice::share_of(route_table const& routes,
                          index_catalogue const& catalogue,
                          topology_index group, candidate const& c)
{
    auto const& services = routes.config().groups()[group].services;
    share const by_service{.covered = c.services, .of = services.size()};
    auto const count = catalogue.find_map(group, c.version).usable_count();
    if (count == 0 || count > max_partitions) {
        return by_service;
    }
    covered_.assign(count, false);
    for (auto const service : services) {
        for (auto const u : routes.config().services()[service].upstreams) {
            auto const* held = catalogue.upstream(u).find(c.version);
            if (held == nullptr || !routes.can_serve(u)) {
                continue;
            }
            if (!held->known) {
                return by_service;
            }
            for (auto const p : held->partitions) {
                if (p.value < count) {
                    covered_[p.value] = true;
                }
            }
        }
    }
    auto const covered = std::count(covered_.begin(), covered_.end(), true);
    return {.covered = static_cast<std::uint64_t>(covered), .of = count};
}

std::optional<index_version>
snapshot_cache::choose(route_table const& routes,
                       index_catalogue const& catalogue, topology_index group)
{
    if (routes_ != &routes || sequence_ != routes.sequence()) {
        entries_.assign(routes.config().groups().size(), {});
        routes_ = &routes;
        sequence_ = routes.sequence();
    }
    auto& it = entries_[group];
    if (it.revision != catalogue.revision()) {
        it.version = choice_.choose(routes, catalogue, group);
        it.revision = catalogue.revision();
    }
    return it.version;
}

} // namespace snipemill
