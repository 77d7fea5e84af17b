#include "core/query/route_table.hpp"

#include <algorithm>
#include <cassert>

namespace snipemill {

route_table::route_table(std::shared_ptr<routing_view const> view,
                         std::set<host_id> const& silent)
    : view_(std::move(view))
{
    assert(view_ && view_->config && view_->owners);
    auto const& upstreams = view_->config->upstreams();
    routes_.reserve(upstreams.size());
    for (topology_index u = 0; u < upstreams.size(); ++u) {
        auto const& owners = view_->owners->owners(u);
        routes_.push_back({.first = owners.first.value_or(no_host),
                           .second = owners.second.value_or(no_host),
                           .usable = view_->config->usable(upstreams[u])});
    }
    if (!silent.empty()) {
        avoid(silent);
    }
    find_data_centre();
}

void route_table::avoid(std::set<host_id> const& silent)
{
    std::vector<bool> lost(hosts());
    for (host_index h = 0; h < hosts(); ++h) {
        lost[h] = silent.contains(host(h));
    }
    for (auto& it : routes_) {
        if (it.second != no_host && lost[it.second]) {
            it.second = no_host;
        }
        if (it.first == no_host || !lost[it.first]) {
            continue;
        }
        it.by_second = it.second != no_host;
        it.silent = !it.by_second;
        if (it.by_second) {
            it.first = it.second;
            it.second = no_host;
        }
    }
}

void route_table::find_data_centre()
{
    auto const& hosts = view_->owners->hosts();
    auto const self =
        std::find_if(hosts.begin(), hosts.end(),
                     [&](live_host const& h) { return h.id == view_->self; });
    if (self == hosts.end()) {
        return;
    }
    auto const* dc = view_->config->find_data_centre(self->data_centre);
    if (dc != nullptr) {
        data_centre_ = static_cast<topology_index>(
            dc - view_->config->data_centres().data());
    }
}

bool route_table::data_centre_out() const
{
    return data_centre_ && !config().data_centres()[*data_centre_].in;
}

std::optional<topology_index> route_table::find(upstream_id id) const
{
    auto const* u = config().find_upstream(id);
    if (u == nullptr) {
        return std::nullopt;
    }
    return static_cast<topology_index>(u - config().upstreams().data());
}

std::optional<topology_index> route_table::find(upstream_id id,
                                                topology_index probable) const
{
    auto const& upstreams = config().upstreams();
    if (probable < upstreams.size() && upstreams[probable].object.id == id) {
        return probable;
    }
    return find(id);
}

std::optional<topology_index>
route_table::find_group(std::string_view name) const
{
    auto const* group = config().find_group(name);
    if (group == nullptr) {
        return std::nullopt;
    }
    return static_cast<topology_index>(group - config().groups().data());
}

} // namespace snipemill
