#include "core/forward/store_mirror.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

namespace {

// One failed call may be a broken connection; from the second the store counts
// as unavailable.
constexpr std::uint32_t outage_failures = 2;

} // namespace

// Entries of draining upstreams and of other kinds of objects are removed at
// once when they are missing. A restored store lacks entries of all kinds for a
// moment until their writers have written them again.
bool store_mirror::held_when_missing(store_value const& value) const
{
    auto const* const record = std::get_if<upstream_record>(&value);
    return record ? !record->draining : new_era_;
}

mirror_action store_mirror::next_action() const
{
    if (listing_) {
        return list_action{.after = after_,
                           .age = current_listing_ ? read_age::current
                                                   : read_age::may_be_old};
    }
    return watch_action{.revision = revision_};
}

// Whether the entry of a restored store is an older one of the same host.
bool store_mirror::outdated_renewal(store_entry const& entry) const
{
    auto const it = entries_.find(entry.name);
    auto const* const next = std::get_if<host_entry>(&entry.value);
    if (!new_era_ || !next || it == entries_.end()) {
        return false;
    }
    auto const* const known = std::get_if<host_entry>(&it->second.value);
    return known && known->renewed_ms > next->renewed_ms;
}

void store_mirror::put(store_entry&& entry)
{
    if (outdated_renewal(entry)) {
        auto& it = entries_[entry.name];
        it.generation = generation_;
        it.held_until.reset();
        return;
    }
    entries_[std::move(entry.name)] = {.value = std::move(entry.value),
                                       .generation = generation_};
}

void store_mirror::remove(std::string const& name, time_point until,
                          time_point now)
{
    auto const it = entries_.find(name);
    if (it == entries_.end()) {
        return;
    }
    bool const host = std::holds_alternative<host_entry>(it->second.value);
    if (!held_when_missing(it->second.value) || (!host && until <= now)) {
        entries_.erase(it);
        return;
    }
    if (!it->second.held_until) {
        it->second.held_until =
            host ? now + settings_.missing_host_hold : until;
        held_.push_back({.name = name, .until = *it->second.held_until});
    }
}

bool store_mirror::enter_era(std::uint64_t era)
{
    era_ = era;
    new_era_ = true;
    revision_ = 0;
    changed_revision_ = 0;
    required_revision_ = 0;
    outdated_ = false;
    // Missing entries are held as after an outage.
    outage_ = true;
    if (listing_ && current_listing_ && after_.empty()) {
        return false;
    }
    restart_listing();
    return true;
}

// In an outage the last time at which the copy was up to date tells nothing:
// the store may have lost every entry since.
time_point
store_mirror::use_until(time_point now,
                        std::optional<time_point> up_to_date_at) const
{
    auto const held = now + settings_.missing_hold;
    return outage_ || !up_to_date_at
               ? held
               : std::min(held,
                          *up_to_date_at + settings_.use_after_up_to_date);
}

void store_mirror::on_page(store_page&& page, time_point now,
                           std::optional<time_point> up_to_date_at)
{
    // Pages of two eras are no listing, and a watch cannot fill the gap.
    if (page.era != era_) {
        restart_listing();
        return;
    }
    oldest_revision_ = after_.empty()
                           ? page.revision
                           : std::min(oldest_revision_, page.revision);
    for (auto& it : page.entries) {
        after_ = it.name;
        put(std::move(it));
    }
    if (page.truncated && !after_.empty()) {
        return;
    }
    if (!listed_ && !current_listing_ &&
        oldest_revision_ < required_revision_) {
        outdated_ = true;
        restart_listing();
        return;
    }
    auto const until = use_until(now, up_to_date_at);
    std::vector<std::string> missing;
    for (auto const& [name, it] : entries_) {
        if (it.generation != generation_) {
            missing.push_back(name);
        }
    }
    for (auto const& name : missing) {
        if (outdated_) {
            entries_.erase(name);
        }
        else {
            remove(name, until, now);
        }
    }
    // The watch from the oldest revision repeats changes that happened between
    // the pages.
    revision_ = oldest_revision_;
    changed_revision_ = revision_;
    current_listing_ = false;
    outdated_ = false;
    listing_ = false;
    listed_ = true;
    outage_ = false;
    new_era_ = false;
}

void store_mirror::on_events(store_events&& events, time_point now,
                             std::optional<time_point> up_to_date_at)
{
    if (events.era != era_) {
        return;
    }
    auto const until = use_until(now, up_to_date_at);
    outage_ = false;
    if (events.revision < revision_) {
        return;
    }
    for (auto& it : events.events) {
        if (it.deleted) {
            remove(it.entry.name, until, now);
        }
        else {
            put(std::move(it.entry));
        }
    }
    revision_ = events.revision;
    if (!events.events.empty()) {
        changed_revision_ = revision_;
    }
}

void store_mirror::on_error(store_error error, std::uint32_t failures)
{
    if (failures >= outage_failures) {
        outage_ = true;
    }
    listed_ = listed_ || outdated_;
    bool const current = error == store_error::history_gone ||
                         (listing_ && error == store_error::older_era);
    if (current) {
        restart_listing();
    }
    else if (listing_) {
        after_.clear();
        ++generation_;
    }
}

// Lists again from the first page, up to date.
void store_mirror::restart_listing()
{
    current_listing_ = true;
    listing_ = true;
    after_.clear();
    ++generation_;
}

bool store_mirror::expire(time_point now)
{
    return std::erase_if(entries_, [now](auto const& it) {
               return it.second.held_until && *it.second.held_until <= now;
           }) > 0;
}

std::optional<time_point> store_mirror::next_expiry() const
{
    std::optional<time_point> out;
    for (auto const& [name, it] : entries_) {
        if (it.held_until && (!out || *it.held_until < *out)) {
            out = it.held_until;
        }
    }
    return out;
}

} // namespace snipemill
