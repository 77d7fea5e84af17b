#include "app/control_plane.hpp"
#include "app/core_time.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

// The part of the control plane that decides who owns which upstream.

namespace {

// Changes of members within this time share one owner table. A table takes
// about 4 ms at 480 hosts, so mass changes cost at most 0.8% of a core.
constexpr duration view_interval = from_ms(500);

} // namespace

std::vector<live_host> control_plane::live_hosts() const
{
    std::vector<live_host> out;
    auto const add = [&](member_info const& it) {
        out.push_back({.id = it.id,
                       .data_centre = it.data_centre,
                       .ip = it.ip,
                       .peer_port = it.peer_port});
    };
    auto alone = true;
    for (auto const& it : members_->members()) {
        if (it.state == member_state::alive ||
            it.state == member_state::suspect) {
            add(it);
            alone = alone && it.data_centre != settings_->data_centre;
        }
    }
    // The last host of a data centre keeps its upstreams while it leaves:
    // nobody else can finish the requests that it has accepted.
    if (!leaving_ || alone) {
        add(members_->self());
    }
    return out;
}

void control_plane::update_view()
{
    if (renew_view()) {
        lanes_->publish(view_);
    }
}

bool control_plane::renew_view()
{
    if (!view_stale_) {
        return false;
    }
    view_stale_ = false;
    next_view_ = core_now() + view_interval;
    auto hosts = live_hosts();
    std::sort(
        hosts.begin(), hosts.end(),
        [](live_host const& a, live_host const& b) { return a.id < b.id; });
    if (view_ && view_->config == topology_ &&
        view_->owners->hosts() == hosts) {
        return false;
    }
    auto view = std::make_shared<routing_view>();
    view->sequence = ++view_sequence_;
    view->self = host_id(settings_->name);
    view->config = topology_;
    view->owners = owner_table::compute(*topology_, std::move(hosts));
    view_ = view;
    return true;
}

void control_plane::send_handover(std::vector<upstream_gauge> const& gauges)
{
    std::vector<std::vector<upstream_gauge>> by_host(
        view_->owners->hosts().size());
    for (auto const& gauge : gauges) {
        auto const& config = *view_->config;
        auto const* upstream = config.find_upstream(gauge.upstream);
        if (upstream == nullptr) {
            continue;
        }
        auto const index =
            static_cast<topology_index>(upstream - config.upstreams().data());
        if (auto const first = view_->owners->owners(index).first) {
            by_host[*first].push_back(gauge);
        }
    }
    for (host_index i = 0; i < by_host.size(); ++i) {
        if (by_host[i].empty()) {
            continue;
        }
        auto const& host = view_->owners->hosts()[i];
        handover_message const message{.from = view_->self,
                                       .upstreams = by_host[i]};
        peers_.open({.id = host.id, .ip = host.ip, .port = host.peer_port},
                    "/peer/handover", encode(events_->stamp(), message),
                    [](stream_event const&) {});
    }
}

} // namespace snipemill
