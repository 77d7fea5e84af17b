#include "core/query/replica_choice.hpp"

#include <algorithm>
#include <cstdint>

namespace snipemill {

namespace {

constexpr std::uint32_t remote_penalty = 8;   // above every condition
constexpr std::uint32_t unheard_penalty = 64; // above every known holder
// Above every possible holder that takes work: each request to such an
// upstream costs a retry, and its share can exceed the retry budget.
constexpr std::uint32_t leaving_penalty = 96;
// Above every condition of a remote upstream: a second owner runs one request
// at a time, from a cold start.
constexpr std::uint32_t second_owner_penalty = 16;
// Above every possible holder with an owner that answers.
constexpr std::uint32_t silent_penalty = 128;
constexpr std::uint32_t lacking_penalty = 256; // above every possible holder
constexpr std::uint32_t never = ~std::uint32_t{0};

std::uint32_t condition_penalty(upstream_condition condition)
{
    switch (condition) {
    case upstream_condition::unknown:
    case upstream_condition::warm:
        return 0;
    case upstream_condition::warming:
        return 1;
    case upstream_condition::cold:
        return 2;
    case upstream_condition::saturated:
        return 3;
    case upstream_condition::leaving:
    case upstream_condition::out:
        break;
    }
    return leaving_penalty;
}

bool takes_hedges(upstream_condition condition)
{
    return condition == upstream_condition::warm ||
           condition == upstream_condition::unknown;
}

std::uint32_t owner_penalty(upstream_route const& route)
{
    return (route.by_second ? second_owner_penalty : 0) +
           (route.silent ? silent_penalty : 0);
}

std::uint32_t penalty(time_point now, route_table const& routes,
                      index_catalogue const& catalogue,
                      replica_choice::request const& wanted, topology_index u)
{
    auto const& known = catalogue.upstream(u);
    auto const condition = known.condition_at(now);
    auto const holds = known.find(wanted.version) != nullptr;
    auto const lacks = known.described && !holds;
    if (!routes.can_serve(u) || (wanted.extra && lacks)) {
        return never;
    }
    auto const& route = routes.route(u);
    if (wanted.hedge && (!takes_hedges(condition) || route.by_second)) {
        return never;
    }
    if (wanted.extra && route.silent) {
        return never;
    }
    auto const& upstream = routes.config().upstreams()[u];
    auto const local = routes.data_centre() == upstream.data_centre;
    return condition_penalty(condition) + (local ? 0 : remote_penalty) +
           (holds ? 0 : unheard_penalty) + (lacks ? lacking_penalty : 0) +
           owner_penalty(route);
}

} // namespace

std::optional<topology_index>
replica_choice::choose(time_point now, route_table const& routes,
                       index_catalogue const& catalogue, rng& random,
                       request const& wanted)
{
    best_.clear();
    auto lowest = never;
    for (auto const u : wanted.replicas) {
        auto const id = routes.config().upstreams()[u].object.id;
        auto const& tried = wanted.tried;
        if (std::find(tried.begin(), tried.end(), id) != tried.end()) {
            continue;
        }
        auto const p = penalty(now, routes, catalogue, wanted, u);
        if (p == never || p > lowest) {
            continue;
        }
        if (p < lowest) {
            best_.clear();
        }
        lowest = p;
        best_.push_back(u);
    }
    if (best_.empty()) {
        return std::nullopt;
    }
    if (best_.size() == 1) {
        return best_.front();
    }
    // Drawn independently: with two replicas the slower one still gets a
    // quarter of the work, which keeps what is known of it up to date.
    auto const n = static_cast<std::uint32_t>(best_.size());
    auto const a = best_[random.below(n)];
    auto const b = best_[random.below(n)];
    return catalogue.upstream(a).latency_at(now) <=
                   catalogue.upstream(b).latency_at(now)
               ? a
               : b;
}

} // namespace snipemill
