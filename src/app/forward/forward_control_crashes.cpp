#include "adapters/logging/logger.hpp"
#include "app/core_time.hpp"
#include "app/forward/forward_control.hpp"
#include "core/forward/request_fingerprint.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace snipemill {

// The part of forward_control that writes crash entries to the store.

namespace {

// Changes of crash entries that wait for the store. More of them mean that
// upstreams end in masses, not because of one request.
constexpr std::size_t max_crash_changes = 256;

constexpr auto crash_retry_delay = std::chrono::milliseconds(300);

// A confirmed change that the store has not shown for longer has been undone by
// another host meanwhile: the copy of crash entries is never this old while the
// store works.
constexpr duration max_unshown = from_ms(10'000);

} // namespace

void forward_control::change_crash(crash_entry const& entry, bool add)
{
    std::erase_if(crash_changes_, [&](crash_change const& it) {
        return it.entry.same_crash(entry);
    });
    std::erase_if(kept_crash_changes_, [&](kept_crash_change const& it) {
        return it.entry.same_crash(entry);
    });
    if (crash_changes_.size() >= max_crash_changes) {
        log_info("crash_not_shared", {{"print", to_text(entry.print)}});
        return;
    }
    crash_changes_.push_back({.entry = entry, .add = add});
    send_crash_changes();
}

void forward_control::send_crash_changes()
{
    // A copy, because a call that is refused at once changes the list.
    auto const changes = crash_changes_;
    for (auto const& it : changes) {
        if (!it.sent) {
            send_crash_change(it.entry);
        }
    }
    if (crash_changes_.empty() || draining_) {
        return;
    }
    crash_timer_.expires_after(crash_retry_delay);
    crash_timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            send_crash_changes();
        }
    });
}

void forward_control::send_crash_change(crash_entry const& entry)
{
    auto const find = [this, entry] {
        return std::find_if(
            crash_changes_.begin(), crash_changes_.end(),
            [&](crash_change const& it) { return it.entry.same_crash(entry); });
    };
    auto const it = find();
    it->sent = true;
    auto const done = [this, find, add = it->add,
                       changes = era_.changes()](bool ok) {
        auto const change = find();
        if (change == crash_changes_.end() || change->add != add) {
            return;
        }
        // A store that has been restored meanwhile may have lost the change.
        if (ok && changes == era_.changes()) {
            keep_crash_change(change->entry, add);
            crash_changes_.erase(change);
        }
        else {
            change->sent = false;
        }
    };
    if (it->add) {
        store_.put_crash(entry, done);
    }
    else {
        store_.remove_crash(entry, done);
    }
}

void forward_control::claim_trial(crash_entry const& entry,
                                  std::function<void(bool)> f)
{
    store_.claim_trial(entry, [this, entry, f = std::move(f),
                               changes = era_.changes()](bool created) {
        bool const done = created && changes == era_.changes();
        if (done) {
            keep_crash_change(entry, true);
        }
        f(done);
    });
}

void forward_control::keep_crash_change(crash_entry const& entry, bool add)
{
    if (kept_crash_changes_.size() >= max_crash_changes) {
        kept_crash_changes_.erase(kept_crash_changes_.begin());
    }
    kept_crash_changes_.push_back(
        {.entry = entry, .add = add, .confirmed_at = core_now()});
}

// Makes the changes again that a restored store has lost. Forgets those that
// another host or the operator has undone, and those of expired entries.
void forward_control::compare_crashes(std::int64_t oldest_ms)
{
    auto const& mirror = watchers_[4]->mirror;
    if (!mirror.listed()) {
        return;
    }
    bool const restored = std::exchange(crashes_to_compare_, false);
    std::vector<crash_entry> present;
    mirror.for_each_present([&](std::string const&, store_value const& it) {
        if (auto const* const entry = std::get_if<crash_entry>(&it)) {
            present.push_back(*entry);
        }
    });
    auto const oldest_unshown = core_now() - max_unshown;
    std::vector<kept_crash_change> lost;
    std::erase_if(kept_crash_changes_, [&](kept_crash_change& it) {
        bool const has =
            std::any_of(present.begin(), present.end(), [&](auto const& entry) {
                return entry.same_crash(it.entry);
            });
        if (it.entry.seen_ms < oldest_ms ||
            (!it.shown && it.confirmed_at < oldest_unshown)) {
            return true;
        }
        if (has == it.add) {
            it.shown = true;
            return false;
        }
        if (restored) {
            lost.push_back(it);
        }
        return it.shown;
    });
    for (auto const& it : lost) {
        change_crash(it.entry, it.add);
    }
}

} // namespace snipemill
