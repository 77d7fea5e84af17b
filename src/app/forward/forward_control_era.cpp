#include "adapters/logging/logger.hpp"
#include "app/forward/forward_control.hpp"

#include <string>
#include <utility>

namespace snipemill {

// The part of forward_control that follows the era of the store.

bool forward_control::see_era(std::uint64_t era)
{
    switch (era_.see(era)) {
    case era_order::first:
        for (auto& it : watchers_) {
            it->mirror.start_in_era(era);
        }
        floors_.enter_era(era);
        return true;
    case era_order::same:
        return true;
    case era_order::newer:
        enter_era(era);
        return true;
    case era_order::older:
        break;
    }
    return false;
}

bool forward_control::use_answer(watcher& it, std::uint64_t era)
{
    auto const epoch = it.epoch;
    if (!see_era(era)) {
        on_failure(it, store_error::older_era);
        return false;
    }
    return it.epoch == epoch;
}

// Revisions of the eras before tell nothing about this one, so every kind is
// listed again, also those with an open watch.
void forward_control::enter_era(std::uint64_t era)
{
    log_info(
        "store_era_changed",
        {{"era", std::to_string(era)},
         {"changes", std::to_string(era_.changes())},
         {"revision_before", std::to_string(watchers_[0]->mirror.revision())}});
    started_all_kinds_ = true;
    entry_to_compare_ = true;
    crashes_to_compare_ = true;
    for (auto& it : watchers_) {
        if (follows(it->kind) && it->mirror.enter_era(era)) {
            list_again(*it);
        }
    }
    floors_.enter_era(era);
}

bool forward_control::hear_era(std::uint64_t era)
{
    if (!era_.hear(era)) {
        return false;
    }
    auto& it = *watchers_[0];
    it.mirror.on_error(store_error::history_gone, 0);
    list_again(it);
    return true;
}

// The removal of an entry may reach the store late, after the next process of
// the host has written its own. A restored store may lack the entry, or have it
// although this host has removed it.
void forward_control::restore_entry()
{
    auto const& mirror = watchers_[3]->mirror;
    bool listed = false;
    mirror.for_each_present([&](std::string const& name, auto const&) {
        listed = listed || name == host_.name;
    });
    if (mirror.listed() && std::exchange(entry_to_compare_, false)) {
        entry_seen_ = entry_seen_ || registered_;
        if (draining_ && listed) {
            store_.remove_host(host_.name);
        }
    }
    bool const lost = std::exchange(entry_seen_, listed) && !listed;
    if (lost && registered_ && !draining_) {
        log_info("host_entry_missing", {{"host", host_.name}});
        registered_ = false;
        renew_entry();
    }
}

void forward_control::list_again(watcher& it)
{
    ++it.epoch;
    it.failures = 0;
    it.timer_armed = false;
    it.timer.cancel();
    call(it);
}

void forward_control::report(forward_metrics& metrics) const
{
    floors_.report(metrics);
    metrics.set_gauge("store_era", static_cast<double>(era_.value()));
    metrics.set_counter("store_era_changes", era_.changes());
    metrics.set_counter("store_answers_of_older_eras", era_.older_answers());
    if (rollouts_) {
        rollouts_->report(metrics);
    }
}

} // namespace snipemill
