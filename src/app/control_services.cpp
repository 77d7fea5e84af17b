#include "app/control_plane.hpp"
#include "app/core_time.hpp"

#include <utility>

namespace snipemill {

// The part of the control plane that serves lanes and operators: crash records
// and status.

void control_plane::report_crash(fingerprint print, upstream_id upstream)
{
    boost::asio::post(io_, [this, print, upstream] {
        if (quarantine_.on_crash(core_now(), print, upstream)) {
            events_->report(event_kind::request_quarantined,
                            std::to_string(print.value), "");
        }
        crashes_changed();
    });
}

void control_plane::crashes_changed()
{
    auto refused = quarantine_.refused_prints(core_now());
    if (refused != refused_) {
        refused_ = std::move(refused);
        lanes_->publish(refused_);
    }
}

// Status

bool control_plane::ready() const
{
    auto const* own = topology_->find_data_centre(settings_->data_centre);
    auto const taken_out = own != nullptr && !own->in;
    return ready_ && !leaving_ && !taken_out && spread_->store().number() > 0;
}

control_status control_plane::status() const
{
    return {.ready = ready(),
            .draining = leaving_,
            .reader = reader_,
            .platform_reachable = platform_.reachable(),
            .config_number = spread_->store().number(),
            .config_age = core_now() - spread_->confirmed_at(),
            .members = members_->members(),
            .crashes = quarantine_.records(),
            .membership = members_->counters(),
            .platform = platform_.counters(),
            .peer = peers_.counters(),
            .probe_bytes_sent = probes_->bytes_sent(),
            .probe_bytes_received = probes_->bytes_received(),
            .view = view_};
}

} // namespace snipemill
