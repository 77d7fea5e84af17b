#include "app/control_plane.hpp"
#include "app/core_time.hpp"

namespace snipemill {

// The part of the control plane that decides when a starting host is ready.

member_info control_plane::make_self(std::uint16_t peer_port,
                                     std::uint16_t operator_port) const
{
    return {.id = host_id(settings_->name),
            .data_centre = settings_->data_centre,
            .ip = settings_->ip,
            .peer_port = peer_port,
            .operator_port = operator_port,
            .incarnation = wall_us() / 1000,
            .state = member_state::alive};
}

std::vector<member_seed> control_plane::seeds(bool local_only) const
{
    std::vector<member_seed> out;
    for (auto const& it : settings_->seeds) {
        if (!local_only || it.data_centre == settings_->data_centre) {
            out.push_back({.ip = it.ip, .port = it.peer_port});
        }
    }
    return out;
}

void control_plane::run_action(config_ready& a)
{
    if (a.ready == ready_) {
        return;
    }
    ready_ = a.ready;
    if (!ready_ || routed_) {
        report_ready();
    }
    finish_start();
}

// Callers come as soon as the host reports ready. With a view older than the
// answers of the seeds it would know no owner in other data centres and refuse
// their queries for up to the time between two views.
void control_plane::finish_start()
{
    if (routed_ || !ready_ || !members_->joined(core_now())) {
        return;
    }
    update_view();
    routed_ = true;
    report_ready();
}

void control_plane::report_ready()
{
    events_->report(ready_ ? event_kind::host_ready
                           : event_kind::host_not_ready,
                    settings_->name, "");
}

} // namespace snipemill
