#include "app/upstream_watch.hpp"

#include <optional>
#include <string>

namespace snipemill {

namespace {

std::string name_of_upstream(routing_view const& view, upstream_id id)
{
    auto const* it = view.config ? view.config->find_upstream(id) : nullptr;
    return it == nullptr ? "upstream " + std::to_string(id.value)
                         : it->object.name;
}

std::optional<event_kind> event_of(upstream_condition condition)
{
    switch (condition) {
    case upstream_condition::cold:
        return event_kind::upstream_cold;
    case upstream_condition::warm:
        return event_kind::upstream_warm;
    case upstream_condition::leaving:
    case upstream_condition::out:
        return event_kind::upstream_leaving;
    default:
        return std::nullopt;
    }
}

// A saturated upstream is warm; the difference changes too often to be an
// event.
upstream_condition settled(upstream_condition condition)
{
    return condition == upstream_condition::saturated ? upstream_condition::warm
                                                      : condition;
}

bool gives_up_work(upstream_condition condition)
{
    return condition == upstream_condition::leaving ||
           condition == upstream_condition::out;
}

} // namespace

upstream_watch::upstream_watch(event_sink& events) : events_(&events) {}

void upstream_watch::look(routing_view const& view,
                          std::vector<upstream_gauge> const& gauges)
{
    for (auto& [id, it] : seen_) {
        it.present = false;
    }
    for (auto const& gauge : gauges) {
        compare(view, gauge);
    }
    report_lost(view);
}

void upstream_watch::compare(routing_view const& view,
                             upstream_gauge const& gauge)
{
    auto const condition = settled(gauge.condition);
    auto const busy = gauge.in_flight + gauge.queued > 0;
    auto const [it, added] = seen_.try_emplace(gauge.upstream);
    auto& last = it->second;
    if (added) {
        events_->report(event_kind::ownership_gained,
                        name_of_upstream(view, gauge.upstream), "");
    }
    if (last.condition != condition) {
        if (auto const kind = event_of(condition)) {
            events_->report(
                *kind, name_of_upstream(view, gauge.upstream),
                std::string(name_of(upstream_condition_names, condition)));
        }
    }
    if (gives_up_work(condition) && last.busy && !busy) {
        events_->report(event_kind::upstream_last_request,
                        name_of_upstream(view, gauge.upstream), "");
    }
    last = {.condition = condition, .busy = busy, .present = true};
}

void upstream_watch::report_lost(routing_view const& view)
{
    for (auto it = seen_.begin(); it != seen_.end();) {
        if (it->second.present) {
            ++it;
            continue;
        }
        events_->report(event_kind::ownership_lost,
                        name_of_upstream(view, it->first), "");
        it = seen_.erase(it);
    }
}

} // namespace snipemill
