#include "adapters/logging/logger.hpp"
#include "app/forward/forward_control.hpp"
#include "core/forward/request_fingerprint.hpp"

#include <algorithm>

namespace snipemill {

// The part of forward_control that writes crash entries to the store.

namespace {

// Changes of crash entries that wait for the store. More of them mean that
// upstreams end in masses, not because of one request.
constexpr std::size_t max_crash_changes = 256;

constexpr auto crash_retry_delay = std::chrono::milliseconds(300);

} // namespace

void forward_control::change_crash(crash_entry const& entry, bool add)
{
    std::erase_if(crash_changes_, [&](crash_change const& it) {
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
    auto const done = [this, find, add = it->add](bool ok) {
        auto const change = find();
        if (change == crash_changes_.end() || change->add != add) {
            return;
        }
        if (ok) {
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

} // namespace snipemill
