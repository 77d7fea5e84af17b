#include "core/query/describe_rounds.hpp"

#include <map>
#include <utility>

namespace snipemill {

namespace {

// A round whose answers are lost is given up after this time.
constexpr duration round_expiry = from_ms(1000);

// Upstreams that queries have not reached for this time are asked again.
constexpr duration stale_after = from_ms(2000);

bool wanted(query_shared const& shared, time_point now, topology_index u,
            describe_rounds::scope which)
{
    if (!shared.routes->can_serve(u)) {
        return false;
    }
    // A second owner does not ask the upstream for its status.
    auto const& route = shared.routes->route(u);
    if (route.by_second || route.silent) {
        return false;
    }
    auto const& known = shared.catalogue.upstream(u);
    return which == describe_rounds::scope::all || !known.described ||
           now - known.heard > stale_after;
}

using targets_by_host = std::map<host_index, std::vector<upstream_id>>;

targets_by_host collect(query_shared const& shared, time_point now,
                        topology_index group, describe_rounds::scope which)
{
    targets_by_host out;
    auto const& config = shared.routes->config();
    for (auto const s : config.groups()[group].services) {
        for (auto const u : config.services()[s].upstreams) {
            if (wanted(shared, now, u, which)) {
                auto const host = shared.routes->route(u).first;
                out[host].push_back(config.upstreams()[u].object.id);
            }
        }
    }
    return out;
}

} // namespace

bool describe_rounds::start(query_shared& shared, time_point now,
                            topology_index group, scope which,
                            query_actions& out)
{
    auto const& name = shared.routes->config().groups()[group].object.name;
    auto& r = rounds_[name];
    if (!r.open.empty() && now - r.started < round_expiry) {
        return true;
    }
    give_up(r);
    r.started = now;
    for (auto& [host, targets] : collect(shared, now, group, which)) {
        auto const id = shared.next_request();
        auto const& to = shared.routes->host(host);
        r.open.push_back(id);
        requests_.emplace(id, pending{name, to});
        out.push_back(send_describe{
            .to = to, .request = {.id = id, .targets = std::move(targets)}});
    }
    return !r.open.empty();
}

bool describe_rounds::open(request_id id, host_id const& at) const
{
    auto const it = requests_.find(id);
    return it != requests_.end() && it->second.to == at;
}

std::optional<std::string> describe_rounds::end(request_id id)
{
    auto const it = requests_.find(id);
    if (it == requests_.end()) {
        return std::nullopt;
    }
    auto group = std::move(it->second.group);
    requests_.erase(it);
    auto& r = rounds_[group];
    std::erase(r.open, id);
    if (!r.open.empty()) {
        return std::nullopt;
    }
    return group;
}

void describe_rounds::give_up(round& r)
{
    for (auto const id : r.open) {
        requests_.erase(id);
    }
    r.open.clear();
}

} // namespace snipemill
