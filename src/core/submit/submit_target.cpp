#include "core/submit/submit_target.hpp"

#include "core/base/hash.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace snipemill {

namespace {

live_host const* find_self(routing_view const& view)
{
    auto const& hosts = view.owners->hosts();
    auto const it =
        std::find_if(hosts.begin(), hosts.end(),
                     [&](live_host const& h) { return h.id == view.self; });
    return it == hosts.end() ? nullptr : &*it;
}

topology_service const* find_service(routing_view const& view,
                                     caller_submit const& request)
{
    auto const* const group = view.config->find_group(request.group);
    if (group == nullptr || group->services.empty()) {
        return nullptr;
    }
    auto const& services = view.config->services();
    if (request.service.empty()) {
        auto const n = hash_bytes(request.key) % group->services.size();
        return &services[group->services[n]];
    }
    for (auto const i : group->services) {
        if (services[i].object.name == request.service) {
            return &services[i];
        }
    }
    return nullptr;
}

// Whether the group has a service that the request may be sent to.
bool has_service(topology_group const& group, topology const& config,
                 std::string_view service)
{
    if (service.empty()) {
        return !group.services.empty();
    }
    return std::any_of(group.services.begin(), group.services.end(),
                       [&](topology_index i) {
                           return config.services()[i].object.name == service;
                       });
}

// A host that is not in the owner table counts as in service.
bool own_data_centre_in(routing_view const& view)
{
    auto const* const self = find_self(view);
    if (self == nullptr) {
        return true;
    }
    auto const* const dc = view.config->find_data_centre(self->data_centre);
    return dc == nullptr || dc->in;
}

failure refuse(errc code, std::string detail)
{
    return {code, run_state::not_run, std::move(detail)};
}

} // namespace

std::optional<failure> submit_refusal(routing_view const* view,
                                      caller_submit const& request)
{
    if (view == nullptr) {
        return refuse(errc::no_configuration, "no configuration yet");
    }
    auto const* const group = view->config->find_group(request.group);
    if (group == nullptr) {
        return refuse(errc::unknown_group,
                      "no service group \"" + request.group + "\"");
    }
    if (!has_service(*group, *view->config, request.service)) {
        return refuse(errc::not_found, "group \"" + request.group +
                                           "\" has no service \"" +
                                           request.service + "\"");
    }
    if (request.key.empty()) {
        return refuse(errc::key_required, "Idempotency-Key is required");
    }
    if (!own_data_centre_in(*view)) {
        return refuse(errc::data_centre_out,
                      "the data centre is out of service");
    }
    return std::nullopt;
}

std::optional<submit_target>
choose_submit_target(routing_view const& view, caller_submit const& request,
                     std::vector<upstream_id> const& tried)
{
    auto const* const service = find_service(view, request);
    if (service == nullptr) {
        return std::nullopt;
    }
    auto const* const self = find_self(view);
    auto const own = self == nullptr ? std::string() : self->data_centre;
    auto const key = hash_bytes(request.key, 1);
    std::optional<submit_target> best;
    std::tuple<bool, std::uint64_t> best_order;
    for (auto const i : service->upstreams) {
        auto const& u = view.config->upstreams()[i];
        auto const owner = view.owners->owners(i).first;
        auto const seen = std::find(tried.begin(), tried.end(), u.object.id);
        if (!owner || seen != tried.end() || !view.config->usable(u)) {
            continue;
        }
        std::tuple const order(u.object.data_centre != own,
                               hash_combine(key, u.object.id.value));
        if (!best || order < best_order) {
            best_order = order;
            best = {u.object.id, view.owners->hosts()[*owner].id};
        }
    }
    return best;
}

} // namespace snipemill
