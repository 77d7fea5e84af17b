#include "app/control_plane.hpp"
#include "app/core_time.hpp"

#include <utility>

namespace snipemill {

// The part of the control plane that serves lanes and operators: crash records
// and status.

void control_plane::report_crash(fingerprint print, upstream_id upstream)
{
    boost::asio::post(io_, [this, print, upstream] {
        auto const before = quarantine_.find(print);
        if (quarantine_.on_crash(core_now(), print, upstream)) {
            events_->report(event_kind::request_quarantined,
                            std::to_string(print.value), "");
        }
        crashes_changed();
        // A further crash of a known upstream is no news to the members.
        auto const after = quarantine_.find(print);
        if (after && (!before || before->upstreams != after->upstreams)) {
            crash_bursts_.add(print);
            send_crash_burst();
        }
    });
}

void control_plane::send_crash_burst()
{
    std::vector<crash_record> records;
    for (auto const print : crash_bursts_.take(core_now())) {
        if (auto record = quarantine_.find(print)) {
            records.push_back(std::move(*record));
        }
    }
    if (records.empty()) {
        return;
    }
    member_actions out;
    members_->announce(out);
    for (auto& it : out) {
        if (auto* sent = std::get_if<send_probe>(&it)) {
            probes_->send(sent->ip, sent->port,
                          {.time = events_->stamp(),
                           .message = std::move(sent->message),
                           .crashes = records});
        }
    }
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
    return ready_ && routed_ && !leaving_ && !taken_out &&
           spread_->store().number() > 0;
}

std::map<host_id, duration> control_plane::unreachable() const
{
    auto const now = core_now();
    std::map<host_id, duration> out;
    for (auto const& [id, since] : members_->unreachable()) {
        out.emplace(id, now - since);
    }
    return out;
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
            .unreachable = unreachable(),
            .crashes = quarantine_.records(),
            .membership = members_->counters(),
            .platform = platform_.counters(),
            .peer = peers_.counters(),
            .platform_bytes = platform_.bytes(),
            .member_lists = member_lists_,
            .probe_bytes_sent = probes_->bytes_sent(),
            .probe_bytes_received = probes_->bytes_received(),
            .view = view_};
}

} // namespace snipemill
