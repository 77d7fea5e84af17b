#include "app/forward/rollout_control.hpp"

#include "adapters/logging/logger.hpp"
#include "app/core_time.hpp"
#include "core/base/overloaded.hpp"
#include "core/rollouts/decider_rank.hpp"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

namespace snipemill {

namespace {

// Interval of reports and decisions while a rollout runs.
constexpr auto tick = std::chrono::milliseconds(250);

std::int64_t wall_clock_ms()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::uint64_t random_number()
{
    std::random_device device;
    return (std::uint64_t(device()) << 32U) | device();
}

} // namespace

rollout_control::rollout_control(boost::asio::io_context& io, options o)
    : options_(std::move(o)), incarnation_(random_number()), timer_(io)
{}

void rollout_control::on_snapshot(forward_snapshot& snapshot,
                                  std::vector<rollout_entry> entries)
{
    auto const now = core_now();
    // A service may have entries of earlier orders: the last one counts.
    std::sort(entries.begin(), entries.end(), [](auto const& a, auto const& b) {
        return a.revision < b.revision;
    });
    upstreams_ = snapshot.upstreams;
    hosts_ = snapshot.hosts;
    policy_.update(upstreams_, entries, snapshot.complete);
    update_runs(entries, now);
    published_ = policy_.shares(now);
    published_targets_ = targets();
    snapshot.versions = published_;
    snapshot.rollout_targets = published_targets_;
    arm();
}

// An order that no host has begun is new. The status of another one says when
// it began, for a host that has started or missed events meanwhile.
time_point rollout_control::order_time(rollout_entry const& entry,
                                       time_point now)
{
    if (entry.state() == rollout_state::ordered) {
        return now;
    }
    auto const age = from_ms(wall_clock_ms() - entry.status.started_ms);
    return now - std::clamp(age, duration::zero(), entry.time_limit);
}

void rollout_control::update_runs(std::vector<rollout_entry> const& entries,
                                  time_point now)
{
    std::map<std::string, rollout_entry const*> newest;
    for (auto const& it : entries) {
        newest[it.service] = &it;
    }
    std::erase_if(runs_,
                  [&](auto const& it) { return !newest.contains(it.first); });
    for (auto const& [service, entry] : newest) {
        auto const known = runs_.find(service);
        bool const same =
            known != runs_.end() && known->second.entry().name == entry->name &&
            known->second.entry().target_version == entry->target_version &&
            // A restored store may have lost the status.
            (entry->state() != rollout_state::ordered ||
             !known->second.ended() || entry->era != known->second.entry().era);
        if (same) {
            known->second.on_entry(*entry, now);
            continue;
        }
        runs_.erase(service);
        auto& run =
            runs_.emplace(service, make_run(*entry, order_time(*entry, now)))
                .first->second;
        if (!run.ended()) {
            log_info("rollout_seen",
                     {{"rollout", entry->name},
                      {"service", service},
                      {"target", entry->target_version},
                      {"in_use", policy_.in_use(service)},
                      {"state", std::string(name_of(rollout_state_names,
                                                    entry->state()))},
                      {"revision", std::to_string(entry->revision)}});
        }
    }
}

rollout_run rollout_control::make_run(rollout_entry const& entry,
                                      time_point ordered_at)
{
    return rollout_run(
        {.decider = options_.host + "/" + std::to_string(incarnation_),
         .bounds = options_.bounds,
         .write =
             [this, entry](std::uint64_t revision, rollout_status status) {
                 write(entry, revision, std::move(status));
             },
         .instruct =
             [this](rollout_instruction const& message) { instruct(message); },
         .log = [](char const* name,
                   log_field_list const& fields) { log_info(name, fields); }},
        entry, ordered_at);
}

void rollout_control::write(rollout_entry const& entry, std::uint64_t revision,
                            rollout_status status)
{
    ++status_writes_;
    auto next = entry;
    next.revision = revision;
    next.status = std::move(status);
    options_.store->put_rollout_status(
        std::move(next),
        [this, service = entry.service, target = entry.target_version](
            status_write result, std::optional<rollout_entry> const& written) {
            status_writes_failed_ += result == status_write::done ? 0 : 1;
            auto const run = runs_.find(service);
            if (run != runs_.end() &&
                run->second.entry().target_version == target) {
                run->second.on_written(result, written, core_now());
            }
        });
}

fleet_host const* rollout_control::find_host(std::string const& name) const
{
    auto const it =
        std::find_if(hosts_.begin(), hosts_.end(), [&](auto const& host) {
            return host.name == name && host.relay_port != 0;
        });
    return it != hosts_.end() ? &*it : nullptr;
}

void rollout_control::instruct(rollout_instruction const& message)
{
    follow(message);
    for (auto const& it : hosts_) {
        if (it.name != options_.host && it.relay_port != 0 && links_.send) {
            ++instructions_sent_;
            links_.send(it, message);
        }
    }
}

void rollout_control::follow(rollout_instruction const& message)
{
    auto const now = core_now();
    auto const before = policy_.decider(message.service);
    if (!policy_.on_instruction(message, now)) {
        return;
    }
    auto const run = runs_.find(message.service);
    if (run != runs_.end()) {
        run->second.on_instruction(message, now);
    }
    auto const after = policy_.decider(message.service);
    if (after != before) {
        log_info("rollout_followed",
                 {{"service", message.service},
                  {"target", message.target_version},
                  {"decider", message.decider},
                  {"token", std::to_string(message.token)}});
    }
    publish_if_changed();
    arm();
}

void rollout_control::on_message(rollout_message const& message)
{
    std::visit(
        overloaded{[this](rollout_report const& it) {
                       auto const run = runs_.find(it.service);
                       if (run != runs_.end()) {
                           run->second.on_report(it, core_now());
                       }
                   },
                   [this](rollout_instruction const& it) { follow(it); }},
        message);
}

void rollout_control::pass_on(std::vector<rollout_report> reports)
{
    for (auto& it : reports) {
        it.host = options_.host;
        it.incarnation = incarnation_;
        auto const share = published_.find(it.service);
        if (share != published_.end()) {
            it.share = share->second.serving == it.target_version
                           ? 1
                           : share->second.share;
        }
        auto const decider = policy_.decider(it.service);
        if (decider == options_.host) {
            on_message(it);
        }
        else if (auto const* const host = find_host(decider);
                 host && links_.send) {
            ++reports_sent_;
            links_.send(*host, it);
        }
    }
}

std::map<std::string, std::string> rollout_control::targets() const
{
    std::map<std::string, std::string> out;
    for (auto const& [service, run] : runs_) {
        if (!run.ended()) {
            out[service] = run.entry().target_version;
        }
    }
    return out;
}

void rollout_control::publish_if_changed()
{
    auto shares = policy_.shares(core_now());
    auto next = targets();
    if (shares == published_ && next == published_targets_) {
        return;
    }
    published_ = std::move(shares);
    published_targets_ = std::move(next);
    if (links_.publish) {
        links_.publish(published_, published_targets_);
    }
}

rollout_surroundings rollout_control::surroundings(rollout_run const& run) const
{
    auto const& entry = run.entry();
    rollout_surroundings out{.rank = decider_rank(hosts_, options_.host),
                             .in_use = policy_.in_use(entry.service),
                             .wall_clock_ms = wall_clock_ms()};
    for (auto const& it : hosts_) {
        if (it.relay_port != 0) {
            out.hosts.push_back(it.name);
        }
    }
    for (auto const& it : upstreams_) {
        if (it.service == entry.service && !it.draining) {
            out.old_upstreams += it.version == out.in_use ? 1 : 0;
            out.new_upstreams += it.version == entry.target_version ? 1 : 0;
        }
    }
    return out;
}

// An ended rollout stays active while its deciding host announces the end.
bool rollout_control::active() const
{
    return std::any_of(runs_.begin(), runs_.end(), [](auto const& it) {
        return !it.second.ended() || it.second.announcing();
    });
}

void rollout_control::arm()
{
    if (armed_ || stopped_ || !active()) {
        return;
    }
    armed_ = true;
    timer_.expires_after(tick);
    timer_.async_wait([this](boost::system::error_code ec) {
        armed_ = false;
        if (!ec && !stopped_) {
            on_timer();
        }
    });
}

void rollout_control::on_timer()
{
    if (links_.collect) {
        links_.collect([this](std::vector<rollout_report> reports) {
            pass_on(std::move(reports));
        });
    }
    for (auto& [service, run] : runs_) {
        run.on_tick(surroundings(run), core_now());
    }
    publish_if_changed();
    arm();
}

void rollout_control::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void rollout_control::report(forward_metrics& metrics) const
{
    auto const now = core_now();
    double deciding = 0;
    double running = 0;
    for (auto const& [service, run] : runs_) {
        deciding += run.deciding() && !run.ended() ? 1 : 0;
        running += run.ended() ? 0 : 1;
    }
    double share = 0;
    for (auto const& [service, it] : policy_.shares(now)) {
        share = std::max(share, it.share);
    }
    metrics.set_gauge("rollouts_running", running);
    metrics.set_gauge("rollouts_deciding", deciding);
    metrics.set_gauge("rollout_share", share);
    metrics.set_counter("rollout_reports", reports_sent_);
    metrics.set_counter("rollout_instructions", instructions_sent_);
    metrics.set_counter("rollout_status_writes", status_writes_);
    metrics.set_counter("rollout_status_write_failures", status_writes_failed_);
}

} // namespace snipemill
