#include "app/forward/forward_control.hpp"

#include "adapters/logging/logger.hpp"
#include "app/core_time.hpp"
#include "core/base/overloaded.hpp"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace snipemill {

namespace {

// A store that drops its history may not report the dropped changes to an open
// watch; only the next watch fails. Watches therefore time out this long before
// the time within which a change must be in force, which leaves time for a new
// listing on a slow host.
constexpr duration watch_margin = from_ms(1000);
constexpr duration min_watch_timeout = from_ms(500);

// Upstreams register one by one when a fleet starts. A delay after events
// batches the events that follow into one call. Each change costs one call per
// host of the fleet, so the delay grows with the fleet, up to a ratio of the
// time within which a removed upstream must be out of use.
constexpr duration upstream_batch_delay = from_ms(150);
constexpr duration upstream_batch_delay_per_host = from_ms(8);
constexpr double max_batch_delay_ratio = 0.125;

// No time limit applies to changes of the list of hosts.
constexpr duration host_watch_timeout = from_ms(20'000);

// A watch that waits as long as the store keeps its history fails: the store
// cannot tell any more that nothing has changed. Every kind is then listed
// again.
constexpr double max_watch_ratio = 0.75;

constexpr duration host_batch_delay = from_ms(500);

// When the store drops its history, the shorter watches of other kinds notice
// it, and all kinds are listed again.
constexpr duration crash_watch_timeout = from_ms(20'000);

// These watches return an order or a status at once.
constexpr duration rollout_watch_timeout = from_ms(20'000);

// Entries of crashes older than this are removed.
constexpr std::int64_t crash_lifetime_ms =
    std::chrono::duration_cast<std::chrono::milliseconds>(
        quarantine_settings{}.expiry)
        .count();

// A host renews its entry at this interval. An entry that is three intervals
// old belongs to a host that stopped without removing it.
constexpr auto renewal_interval = std::chrono::seconds(60);
constexpr std::int64_t entry_lifetime_ms = 180'000;

// For clocks that differ between hosts.
constexpr duration listed_margin = from_ms(5000);

// Delay after a failed renewal.
constexpr auto renewal_retry = std::chrono::seconds(2);

std::int64_t wall_clock_ms()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// Delay after failed calls: exponential backoff with a jitter of one half. The
// maximum stays below one second, so that changes made right after an outage
// take effect in time.
constexpr duration initial_retry_delay = from_ms(60);
constexpr duration max_retry_delay = from_ms(800);

// A missing entry stays in use for at most this ratio of the time within which
// a removed upstream must be out of use.
constexpr double hold_ratio = 0.66;

// The same counted from the last time at which the copy was up to date. The
// rest is for the way of the last request to the upstream.
constexpr double use_ratio = 0.75;

store_mirror_settings mirror_settings(forward_settings const& from)
{
    store_mirror_settings out;
    auto const part = [&](double ratio) {
        return std::chrono::duration_cast<duration>(from.leave_within * ratio);
    };
    out.missing_hold = std::min(out.missing_hold, part(hold_ratio));
    out.use_after_up_to_date = part(use_ratio);
    return out;
}

fleet_host own_host(forward_settings const& from)
{
    fleet_host out{.name = from.name,
                   .data_centre = from.data_centre,
                   .cores = from.cores};
    if (from.relay) {
        out.ip = from.relay->ip;
        out.relay_port = from.relay->port;
    }
    return out;
}

} // namespace

forward_control::forward_control(boost::asio::io_context& io,
                                 forward_settings const& settings,
                                 store_port& store, publish_callback publish)
    : store_(store), publish_(std::move(publish)),
      random_(std::random_device()()), key_seed_(std::random_device()()),
      host_(own_host(settings)), expiry_timer_(io), renewal_timer_(io),
      crash_timer_(io), max_batch_delay_(std::chrono::duration_cast<duration>(
                            settings.leave_within * max_batch_delay_ratio)),
      floors_(io, floor_options(settings))
{
    auto const mirror = mirror_settings(settings);
    std::array const timeouts{settings.change_within - watch_margin,
                              settings.leave_within - watch_margin,
                              settings.evacuate_within - watch_margin,
                              host_watch_timeout,
                              crash_watch_timeout,
                              rollout_watch_timeout};
    auto const longest = std::chrono::duration_cast<duration>(
        settings.store_history * max_watch_ratio);
    for (std::size_t i = 0; i < watchers_.size(); ++i) {
        watchers_[i] =
            std::make_unique<watcher>(io, store_kind_names[i].first, mirror);
        watchers_[i]->watch_timeout =
            std::clamp(timeouts[i], min_watch_timeout,
                       std::max(min_watch_timeout, longest));
    }
    watchers_[1]->batch_delay = upstream_batch_delay;
    watchers_[3]->batch_delay = host_batch_delay;
    if (settings.rollouts) {
        rollouts_ = std::make_unique<rollout_control>(
            io, rollout_control::options{.store = &store_,
                                         .host = settings.name,
                                         .bounds = *settings.rollouts});
    }
}

void forward_control::start()
{
    call(*watchers_[0]);
    renew_entry();
}

// After the manifest, which is read up to date: its revision shows how old the
// listings of the other kinds are.
void forward_control::start_other_kinds()
{
    if (std::exchange(started_all_kinds_, true)) {
        return;
    }
    for (std::size_t i = 1; i < watchers_.size(); ++i) {
        watchers_[i]->mirror.require_revision(watchers_[0]->mirror.revision());
        if (follows(watchers_[i]->kind)) {
            call(*watchers_[i]);
        }
    }
}

void forward_control::renew_entry()
{
    host_entry const entry{.renewed_ms = wall_clock_ms(), .host = host_};
    auto const began = core_now();
    store_.put_host(
        host_.name, entry, registered_,
        [this, began, changes = era_.changes()](bool written) {
            if (draining_) {
                return;
            }
            // A store that has been restored meanwhile may have lost it.
            bool const done = written && changes == era_.changes();
            if (done) {
                listed_until_ =
                    began + from_ms(entry_lifetime_ms) - listed_margin;
            }
            // Renewals are published with the event that they cause.
            if (done && !std::exchange(registered_, true)) {
                publish();
            }
            renewal_timer_.expires_after(done ? renewal_interval
                                              : renewal_retry);
            renewal_timer_.async_wait([this](boost::system::error_code ec) {
                if (!ec) {
                    renew_entry();
                }
            });
        });
}

void forward_control::deregister()
{
    draining_ = true;
    if (rollouts_) {
        rollouts_->stop();
    }
    renewal_timer_.cancel();
    crash_timer_.cancel();
    store_.remove_host(host_.name);
}

// Returns the hosts whose entries have not expired. Removes the expired entries
// of other hosts from the store: these stopped without deregistering.
std::vector<fleet_host> forward_control::live_hosts()
{
    auto const oldest = wall_clock_ms() - entry_lifetime_ms;
    std::vector<fleet_host> out;
    auto const& mirror = watchers_[3]->mirror;
    mirror.for_each([&](std::string const&, store_value const& it) {
        auto const* const entry = std::get_if<host_entry>(&it);
        if (entry && entry->renewed_ms >= oldest) {
            out.push_back(entry->host);
        }
    });
    mirror.for_each_present(
        [&](std::string const& name, store_value const& it) {
            auto const* const entry = std::get_if<host_entry>(&it);
            if (name != host_.name && !(entry && entry->renewed_ms >= oldest)) {
                store_.remove_host(name);
            }
        });
    return out;
}

void forward_control::on_store_available()
{
    for (auto& it : watchers_) {
        if (it->timer_armed) {
            it->timer.cancel();
        }
    }
    send_crash_changes();
}

// Returns the entries that have not expired. One host of the fleet, the first
// by name, removes those that have.
std::vector<crash_entry>
forward_control::live_crashes(std::vector<fleet_host> const& hosts)
{
    auto const oldest = wall_clock_ms() - crash_lifetime_ms;
    compare_crashes(oldest);
    bool const first =
        !hosts.empty() &&
        std::none_of(hosts.begin(), hosts.end(),
                     [this](auto const& it) { return it.name < host_.name; });
    std::vector<crash_entry> out;
    watchers_[4]->mirror.for_each(
        [&](std::string const&, store_value const& it) {
            auto const* const entry = std::get_if<crash_entry>(&it);
            if (entry && entry->seen_ms >= oldest) {
                out.push_back(*entry);
            }
            else if (entry && first) {
                store_.remove_crash(*entry, [](bool) {});
            }
        });
    return out;
}

void forward_control::call(watcher& it)
{
    auto const current = [&it, epoch = it.epoch] { return it.epoch == epoch; };
    std::visit(
        overloaded{[&](list_action const& action) {
                       // A stale read could make a starting host serve by an
                       // old manifest.
                       bool const manifests = it.kind == store_kind::manifests;
                       auto const age =
                           manifests ? read_age::current : action.age;
                       if (manifests && action.after.empty()) {
                           listing_began_ = core_now();
                       }
                       store_.list(it.kind, action.after, age,
                                   [this, &it, current](auto result) {
                                       if (current()) {
                                           on_listed(it, std::move(result));
                                       }
                                   });
                   },
                   [&](watch_action const& action) {
                       // An order has a time limit from the moment at which
                       // it is given.
                       bool const rollouts = it.kind == store_kind::rollouts;
                       store_.watch(it.kind, action.revision, it.watch_timeout,
                                    rollouts ? read_age::current
                                             : read_age::may_be_old,
                                    [this, &it, current](auto result) {
                                        if (current()) {
                                            on_watched(it, std::move(result));
                                        }
                                    });
                   }},
        it.mirror.next_action());
}

void forward_control::on_listed(watcher& it,
                                std::variant<store_page, store_error> result)
{
    if (auto* const page = std::get_if<store_page>(&result)) {
        if (!use_answer(it, page->era)) {
            return;
        }
        it.mirror.on_page(std::move(*page), core_now(),
                          floors_.up_to_date_at(it.kind));
        log_held(it);
        on_success(it, true, duration::zero());
        start_other_kinds();
        if (it.kind == store_kind::manifests && it.mirror.listed()) {
            floors_.start(it.mirror.revision(), listing_began_);
        }
        floors_.on_mirror(it.kind);
        return;
    }
    start_other_kinds();
    on_failure(it, std::get<store_error>(result));
}

void forward_control::on_watched(watcher& it,
                                 std::variant<store_events, store_error> result)
{
    if (auto* const events = std::get_if<store_events>(&result)) {
        if (!use_answer(it, events->era)) {
            return;
        }
        bool const changed = !events->events.empty();
        it.mirror.on_events(std::move(*events), core_now(),
                            floors_.up_to_date_at(it.kind));
        log_held(it);
        floors_.on_mirror(it.kind);
        on_success(it, changed, it.batch_delay);
        return;
    }
    on_failure(it, std::get<store_error>(result));
}

void forward_control::log_held(watcher& it)
{
    auto const held = it.mirror.take_held();
    if (held.empty()) {
        return;
    }
    auto const now = core_now();
    auto const whole_ms = [](duration d) {
        return std::to_string(std::llround(to_ms(d)));
    };
    log_info("entries_held",
             {{"kind", name_of(store_kind_names, it.kind)},
              {"entries", std::to_string(held.size())},
              {"first", held.front().name},
              {"hold_ms", whole_ms(held.front().until - now)},
              {"store_age_ms", whole_ms(floors_.age(now))},
              {"revision", std::to_string(it.mirror.revision())}});
}

void forward_control::on_success(watcher& it, bool changed,
                                 duration batch_delay)
{
    if (it.failures > 1) {
        log_info("store_regained",
                 {{"kind", name_of(store_kind_names, it.kind)},
                  {"failed_calls", std::to_string(it.failures)},
                  {"revision", std::to_string(it.mirror.revision())}});
    }
    it.failures = 0;
    if (!changed) {
        call(it);
        return;
    }
    publish();
    if (batch_delay > duration::zero()) {
        call_after(it, batch_delay);
    }
    else {
        call(it);
    }
}

void forward_control::on_failure(watcher& it, store_error error)
{
    ++it.failures;
    bool const is_history_gone = error == store_error::history_gone;
    if (it.failures == 2 || is_history_gone) {
        log_info(is_history_gone ? "store_history_gone" : "store_lost",
                 {{"kind", name_of(store_kind_names, it.kind)},
                  {"error", name_of(store_error_names, error)},
                  {"revision", std::to_string(it.mirror.revision())}});
    }
    if (is_history_gone) {
        on_history_gone();
        return;
    }
    bool const was_ready = it.mirror.ready();
    it.mirror.on_error(error, it.failures);
    if (it.mirror.ready() != was_ready) {
        publish();
    }
    call_after(it, retry_delay(it.failures));
}

// The store drops the history of all kinds together, so every kind is listed
// again, also those with an open watch.
void forward_control::on_history_gone()
{
    started_all_kinds_ = true;
    for (auto& it : watchers_) {
        if (!follows(it->kind)) {
            continue;
        }
        it->mirror.on_error(store_error::history_gone, 0);
        list_again(*it);
    }
}

void forward_control::call_after(watcher& it, duration delay)
{
    it.timer_armed = true;
    it.timer.expires_after(delay);
    // The error code is ignored: on_store_available() cancels the wait to send
    // the call at once.
    it.timer.async_wait(
        [this, &it, epoch = it.epoch](boost::system::error_code) {
            if (epoch == it.epoch) {
                it.timer_armed = false;
                call(it);
            }
        });
}

duration forward_control::retry_delay(std::uint32_t failures)
{
    auto const doubled =
        initial_retry_delay * (1U << std::min(failures - 1, 10U));
    auto const delay = std::min(doubled, max_retry_delay);
    return std::chrono::duration_cast<duration>(delay *
                                                (0.5 + 0.5 * random_.unit()));
}

// Only a manifest with a higher version replaces the manifest in force.
void forward_control::apply_manifest(store_value const& value)
{
    auto const* const next =
        std::get_if<std::shared_ptr<manifest const>>(&value);
    if (!next || (manifest_ && (*next)->version <= manifest_->state->version)) {
        return;
    }
    auto const before = manifest_ ? manifest_->state->version : 0;
    manifest_ = std::make_shared<indexed_manifest const>(*next, key_seed_);
    log_info("manifest_adopted",
             {{"version", std::to_string((*next)->version)},
              {"previous", std::to_string(before)},
              {"routes", std::to_string((*next)->routes.size())},
              {"accounts", manifest_->accounts
                               ? std::to_string(manifest_->accounts->size())
                               : "none"},
              {"revision", std::to_string(watchers_[0]->mirror.revision())}});
}

void forward_control::publish()
{
    auto const out = std::make_shared<forward_snapshot>();
    auto& [manifests, upstreams, evacuations, hosts, crashes, rollouts] =
        watchers_;
    manifests->mirror.for_each(
        [this](std::string const&, store_value const& it) {
            apply_manifest(it);
        });
    out->current = manifest_;
    upstreams->mirror.for_each([&](std::string const&, store_value const& it) {
        if (auto const* const record = std::get_if<upstream_record>(&it)) {
            out->upstreams.push_back(*record);
        }
    });
    evacuations->mirror.for_each(
        [&](std::string const& name, store_value const&) {
            out->evacuated.insert(name);
        });
    out->complete = upstreams->mirror.ready() && evacuations->mirror.ready() &&
                    manifest_ != nullptr &&
                    (!rollouts_ || rollouts->mirror.ready());
    if (hosts->mirror.ready()) {
        restore_entry();
        out->hosts = live_hosts();
        out->listed_until = listed_until_;
        plan_floors_for(out->hosts);
        auto const n = static_cast<std::int64_t>(out->hosts.size());
        upstreams->batch_delay =
            std::clamp(upstream_batch_delay_per_host * n, upstream_batch_delay,
                       std::max(upstream_batch_delay, max_batch_delay_));
    }
    if (crashes->mirror.ready()) {
        out->crashes = live_crashes(out->hosts);
    }
    out->upstreams_revision = upstreams->mirror.revision();
    set_versions(*out);
    publish_(out);
    arm_expiry();
}

bool forward_control::follows(store_kind kind) const
{
    return kind != store_kind::rollouts || rollouts_;
}

void forward_control::set_versions(forward_snapshot& out)
{
    if (!rollouts_) {
        return;
    }
    std::vector<rollout_entry> entries;
    watchers_[5]->mirror.for_each(
        [&](std::string const&, store_value const& it) {
            if (auto const* const entry = std::get_if<rollout_entry>(&it)) {
                entries.push_back(*entry);
                entries.back().era = watchers_[5]->mirror.era();
            }
        });
    rollouts_->on_snapshot(out, std::move(entries));
}

void forward_control::arm_expiry()
{
    std::optional<time_point> at;
    for (auto const& it : watchers_) {
        auto const next = it->mirror.next_expiry();
        if (next && (!at || *next < *at)) {
            at = next;
        }
    }
    if (!at) {
        return;
    }
    expiry_timer_.expires_after(std::max(duration::zero(), *at - core_now()));
    expiry_timer_.async_wait([this](boost::system::error_code ec) {
        if (ec) {
            return;
        }
        bool expired = false;
        for (auto& it : watchers_) {
            expired = it->mirror.expire(core_now()) || expired;
        }
        if (expired) {
            publish();
        }
        else {
            arm_expiry();
        }
    });
}

} // namespace snipemill
