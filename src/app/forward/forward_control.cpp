#include "app/forward/forward_control.hpp"

#include "adapters/logging/logger.hpp"
#include "app/core_time.hpp"
#include "core/base/overloaded.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace snipemill {

namespace {

// A store that drops its history may not tell a watch that waits of changes
// before. The next watch finds out, so none waits up to the bound of the kind;
// the rest is for a new listing on a slow host.
constexpr duration watch_margin = from_ms(1000);
constexpr duration shortest_watch = from_ms(500);

// Upstreams register one by one when a fleet starts. A pause after events
// gathers those that follow into one call. Each change costs the fleet one call
// for each host, so that larger fleets gather more of them, up to a part of the
// bound for leaving upstreams.
constexpr duration upstream_pause = from_ms(150);
constexpr duration upstream_pause_per_host = from_ms(8);
constexpr double upstream_pause_share = 0.125;

// Nothing depends on the time at which a host of the fleet becomes known.
constexpr duration host_watch = from_ms(20'000);
constexpr duration host_pause = from_ms(500);

// A host renews its entry this often; an entry that is three times as old is
// that of a host which ended without leaving.
constexpr auto renewal_interval = std::chrono::seconds(60);
constexpr std::int64_t entry_lifetime_ms = 180'000;

// After a failed renewal.
constexpr auto renewal_retry = std::chrono::seconds(2);

std::int64_t wall_clock_ms()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// Delay after failed calls; doubles, is spread by half, and stays below a
// second so that changes made right after an outage are seen in time.
constexpr duration first_retry = from_ms(60);
constexpr duration longest_retry = from_ms(800);

// Part of the bound for leaving upstreams for which a vanished entry is used.
constexpr double hold_share = 0.66;

store_mirror_settings mirror_settings(forward_settings const& from)
{
    store_mirror_settings out;
    auto const share =
        std::chrono::duration_cast<duration>(from.leave_within * hold_share);
    out.missing_hold = std::min(out.missing_hold, share);
    out.known_hold = std::min(out.known_hold, share);
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
      random_(std::random_device()()), host_(own_host(settings)), expiry_(io),
      renewal_(io), longest_pause_(std::chrono::duration_cast<duration>(
                        settings.leave_within * upstream_pause_share))
{
    auto const mirror = mirror_settings(settings);
    std::array const waits{settings.change_within - watch_margin,
                           settings.leave_within - watch_margin,
                           settings.evacuate_within - watch_margin, host_watch};
    for (std::size_t i = 0; i < followers_.size(); ++i) {
        followers_[i] =
            std::make_unique<follower>(io, store_kind_names[i].first, mirror);
        followers_[i]->wait = std::max(shortest_watch, waits[i]);
    }
    followers_[1]->pause = upstream_pause;
    followers_[3]->pause = host_pause;
}

void forward_control::start()
{
    for (auto& it : followers_) {
        call(*it);
    }
    renew();
}

void forward_control::renew()
{
    host_entry const entry{.renewed_ms = wall_clock_ms(), .host = host_};
    store_.put_host(host_.name, entry, registered_, [this](bool done) {
        if (leaving_) {
            return;
        }
        registered_ = registered_ || done;
        renewal_.expires_after(done ? renewal_interval : renewal_retry);
        renewal_.async_wait([this](boost::system::error_code ec) {
            if (!ec) {
                renew();
            }
        });
    });
}

void forward_control::leave()
{
    leaving_ = true;
    renewal_.cancel();
    store_.remove_host(host_.name);
}

// Entries of hosts that ended without leaving are removed.
std::vector<fleet_host> forward_control::hosts_of_fleet()
{
    auto const oldest = wall_clock_ms() - entry_lifetime_ms;
    std::vector<fleet_host> out;
    followers_[3]->mirror.for_each(
        [&](std::string const& name, store_value const& it) {
            auto const* const entry = std::get_if<host_entry>(&it);
            if (entry && entry->renewed_ms >= oldest) {
                out.push_back(entry->host);
            }
            else if (name != host_.name) {
                store_.remove_host(name);
            }
        });
    return out;
}

void forward_control::store_returned()
{
    for (auto& it : followers_) {
        if (it->waiting) {
            it->timer.cancel();
        }
    }
}

void forward_control::call(follower& it)
{
    auto const current = [&it, epoch = it.epoch] { return it.epoch == epoch; };
    std::visit(
        overloaded{[&](list_action const& action) {
                       // A host that starts does not serve by an old manifest.
                       auto const age = it.kind == store_kind::manifests
                                            ? read_age::current
                                            : action.age;
                       store_.list(it.kind, action.after, age,
                                   [this, &it, current](auto result) {
                                       if (current()) {
                                           on_listed(it, std::move(result));
                                       }
                                   });
                   },
                   [&](watch_action const& action) {
                       store_.watch(it.kind, action.revision, it.wait,
                                    [this, &it, current](auto result) {
                                        if (current()) {
                                            on_watched(it, std::move(result));
                                        }
                                    });
                   }},
        it.mirror.next());
}

void forward_control::on_listed(follower& it,
                                std::variant<store_page, store_error> result)
{
    if (auto* const page = std::get_if<store_page>(&result)) {
        it.mirror.on_page(std::move(*page), core_now());
        on_done(it, true, duration::zero());
        return;
    }
    on_failed(it, std::get<store_error>(result));
}

void forward_control::on_watched(follower& it,
                                 std::variant<store_events, store_error> result)
{
    if (auto* const events = std::get_if<store_events>(&result)) {
        bool const changed = !events->events.empty();
        it.mirror.on_events(std::move(*events), core_now());
        on_done(it, changed, it.pause);
        return;
    }
    on_failed(it, std::get<store_error>(result));
}

void forward_control::on_done(follower& it, bool changed, duration pause)
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
    if (pause > duration::zero()) {
        call_after(it, pause);
    }
    else {
        call(it);
    }
}

void forward_control::on_failed(follower& it, store_error error)
{
    ++it.failures;
    bool const gone = error == store_error::history_gone;
    if (it.failures == 2 || gone) {
        log_info(gone ? "store_history_gone" : "store_lost",
                 {{"kind", name_of(store_kind_names, it.kind)},
                  {"error", name_of(store_error_names, error)},
                  {"revision", std::to_string(it.mirror.revision())}});
    }
    if (gone) {
        on_history_gone();
        return;
    }
    it.mirror.on_error(error, it.failures);
    call_after(it, retry_delay(it.failures));
}

// The history is lost for all kinds, also those whose watches still wait.
void forward_control::on_history_gone()
{
    for (auto& it : followers_) {
        ++it->epoch;
        it->failures = 0;
        it->waiting = false;
        it->timer.cancel();
        it->mirror.on_error(store_error::history_gone, 0);
        call(*it);
    }
}

void forward_control::call_after(follower& it, duration delay)
{
    it.waiting = true;
    it.timer.expires_after(delay);
    it.timer.async_wait(
        [this, &it, epoch = it.epoch](boost::system::error_code) {
            if (epoch == it.epoch) {
                it.waiting = false;
                call(it);
            }
        });
}

duration forward_control::retry_delay(std::uint32_t failures)
{
    auto const doubled = first_retry * (1U << std::min(failures - 1, 10U));
    auto const delay = std::min(doubled, longest_retry);
    return std::chrono::duration_cast<duration>(delay *
                                                (0.5 + 0.5 * random_.unit()));
}

// Only a higher version replaces the one in force.
void forward_control::adopt(store_value const& value)
{
    auto const* const next =
        std::get_if<std::shared_ptr<manifest const>>(&value);
    if (!next || (current_ && (*next)->version <= current_->state->version)) {
        return;
    }
    auto const before = current_ ? current_->state->version : 0;
    current_ = std::make_shared<indexed_manifest const>(*next);
    log_info("manifest_adopted",
             {{"version", std::to_string((*next)->version)},
              {"previous", std::to_string(before)},
              {"routes", std::to_string((*next)->routes.size())},
              {"revision", std::to_string(followers_[0]->mirror.revision())}});
}

void forward_control::publish()
{
    auto const out = std::make_shared<forward_snapshot>();
    auto& [manifests, upstreams, evacuations, hosts] = followers_;
    manifests->mirror.for_each(
        [this](std::string const&, store_value const& it) { adopt(it); });
    out->current = current_;
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
                    current_ != nullptr;
    if (hosts->mirror.ready()) {
        out->hosts = hosts_of_fleet();
        auto const n = static_cast<std::int64_t>(out->hosts.size());
        upstreams->pause =
            std::clamp(upstream_pause_per_host * n, upstream_pause,
                       std::max(upstream_pause, longest_pause_));
    }
    out->upstreams_revision = upstreams->mirror.revision();
    publish_(out);
    arm_expiry();
}

void forward_control::arm_expiry()
{
    auto& mirror = followers_[1]->mirror;
    auto const at = mirror.next_expiry();
    if (!at) {
        return;
    }
    expiry_.expires_after(std::max(duration::zero(), *at - core_now()));
    expiry_.async_wait([this, &mirror](boost::system::error_code ec) {
        if (ec) {
            return;
        }
        if (mirror.expire(core_now())) {
            publish();
        }
        else {
            arm_expiry();
        }
    });
}

} // namespace snipemill
