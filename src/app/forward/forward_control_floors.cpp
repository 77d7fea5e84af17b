#include "app/core_time.hpp"
#include "app/forward/forward_control.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

floor_keeper::options
forward_control::floor_options(forward_settings const& settings)
{
    return {.store = &store_,
            .bound = settings.shortest_bound(),
            .mirror = [this](store_kind kind) -> store_mirror const& {
                return watcher_of(kind).mirror;
            },
            .on_events =
                [this](store_kind kind, store_events events) {
                    on_read(kind, std::move(events));
                },
            .see_era = [this](std::uint64_t era) { return see_era(era); },
            .hear_era = [this](std::uint64_t era) { return hear_era(era); },
            .on_history_gone =
                [this](store_kind kind) {
                    on_failure(watcher_of(kind), store_error::history_gone);
                },
            .send =
                [this](fleet_host const& to, floor_message const& message) {
                    if (send_floor_) {
                        send_floor_(to, message);
                    }
                }};
}

forward_control::watcher& forward_control::watcher_of(store_kind kind)
{
    return **std::find_if(watchers_.begin(), watchers_.end(),
                          [kind](auto const& it) { return it->kind == kind; });
}

void forward_control::on_read(store_kind kind, store_events events)
{
    bool const changed = !events.events.empty();
    auto& it = watcher_of(kind);
    it.mirror.on_events(std::move(events), core_now(),
                        floors_.up_to_date_at(kind));
    log_held(it);
    if (changed) {
        publish();
    }
}

void forward_control::plan_floors_for(std::vector<fleet_host> const& hosts)
{
    if (hosts != planned_hosts_) {
        planned_hosts_ = hosts;
        floors_.set_plan(plan_floors(hosts, host_.name, host_.data_centre));
    }
}

} // namespace snipemill
