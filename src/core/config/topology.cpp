#include "core/config/topology.hpp"

#include <algorithm>

namespace snipemill {

std::shared_ptr<topology const>
topology::build(std::uint64_t number,
                std::map<std::string, config_object> const& objects)
{
    auto view = std::make_shared<topology>();
    view->number_ = number;
    std::unordered_map<std::string, topology_index> service_by_name;

    // The four kinds refer to each other in this order.
    for (auto const& [key, object] : objects) {
        if (auto const* dc = std::get_if<data_centre_object>(&object)) {
            view->data_centre_by_name_[dc->name] =
                static_cast<topology_index>(view->data_centres_.size());
            view->data_centres_.push_back(
                {dc->name, dc->region, dc->state == data_centre_state::in});
        }
        else if (auto const* group = std::get_if<group_object>(&object)) {
            view->group_by_name_[group->name] =
                static_cast<topology_index>(view->groups_.size());
            view->groups_.push_back({*group, {}});
        }
    }
    for (auto const& [key, object] : objects) {
        auto const* service = std::get_if<service_object>(&object);
        if (service == nullptr) {
            continue;
        }
        auto const group = view->group_by_name_.find(service->group);
        if (group == view->group_by_name_.end()) {
            continue;
        }
        auto const index = static_cast<topology_index>(view->services_.size());
        service_by_name[service->name] = index;
        view->services_.push_back({*service, group->second, {}});
        view->groups_[group->second].services.push_back(index);
    }
    for (auto const& [key, object] : objects) {
        auto const* upstream = std::get_if<upstream_object>(&object);
        if (upstream == nullptr) {
            continue;
        }
        auto const service = service_by_name.find(upstream->service);
        auto const dc = view->data_centre_by_name_.find(upstream->data_centre);
        if (service == service_by_name.end() ||
            dc == view->data_centre_by_name_.end()) {
            continue;
        }
        auto const index = static_cast<topology_index>(view->upstreams_.size());
        if (!view->upstream_by_id_.emplace(upstream->id, index).second) {
            continue;
        }
        view->upstreams_.push_back({*upstream, service->second, dc->second});
        view->services_[service->second].upstreams.push_back(index);
    }
    for (auto& service : view->services_) {
        std::sort(service.upstreams.begin(), service.upstreams.end(),
                  [&](topology_index a, topology_index b) {
                      return view->upstreams_[a].object.id <
                             view->upstreams_[b].object.id;
                  });
    }
    return view;
}

topology_group const* topology::find_group(std::string_view name) const
{
    auto const it = group_by_name_.find(std::string(name));
    return it == group_by_name_.end() ? nullptr : &groups_[it->second];
}

topology_upstream const* topology::find_upstream(upstream_id id) const
{
    auto const it = upstream_by_id_.find(id);
    return it == upstream_by_id_.end() ? nullptr : &upstreams_[it->second];
}

topology_data_centre const*
topology::find_data_centre(std::string_view name) const
{
    auto const it = data_centre_by_name_.find(std::string(name));
    return it == data_centre_by_name_.end() ? nullptr
                                            : &data_centres_[it->second];
}

bool topology::usable(topology_upstream const& u) const
{
    return u.object.state == upstream_state::active &&
           data_centres_[u.data_centre].in;
}

} // namespace snipemill
