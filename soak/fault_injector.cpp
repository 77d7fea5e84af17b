#include "fault_injector.hpp"

#include "platform/names.hpp"

#include <csignal>
#include <iostream>
#include <memory>
#include <utility>

namespace soak {

namespace names = snipemill::platform::names;
using standin::link_fault;
using standin::store_state;

namespace {

// Mean time between two faults, and the range of the duration of a fault.
constexpr double mean_interval_s = 0.8;
constexpr double min_duration_s = 0.3;
constexpr double max_duration_s = 4;

// Delay before a process that ended is restarted, as on the platform.
constexpr double restart_delay_s = 0.4;

// Time allowed between SIGTERM and the exit of the process.
constexpr std::chrono::milliseconds shutdown_timeout{6000};

// Interval at which the processes are checked for having exited.
constexpr std::chrono::milliseconds exit_poll_interval{100};

// Expiry of the store entry of a crashed upstream.
constexpr double entry_expiry_s = 3.6;

// Time within which what a restored store has lost is written again.
constexpr double max_rewrite_s = 2;

// Time that a draining upstream still serves.
constexpr double drain_time_s = 4.5;

} // namespace

fault_injector::fault_injector(boost::asio::io_context& io, test_fleet& fleet,
                               invariant_checker& checks, std::uint64_t seed)
    : io_(io), fleet_(fleet), checks_(checks), random_(seed), timer_(io),
      restart_timer_(io)
{
    fleet_.on_crash([this](upstream_entry& it, std::string const& id) {
        checks_.on_crash(id);
        crash_upstream(it);
    });
}

double fault_injector::uniform(double from, double to)
{
    return std::uniform_real_distribution<double>(from, to)(random_);
}

host& fault_injector::random_host()
{
    return *fleet_.hosts()[random_() % fleet_.hosts().size()];
}

upstream_entry* fault_injector::random_upstream()
{
    std::vector<upstream_entry*> candidates;
    for (auto const& it : fleet_.upstreams()) {
        if (!it->stopped && !it->draining) {
            candidates.push_back(it.get());
        }
    }
    return candidates.empty() ? nullptr
                              : candidates[random_() % candidates.size()];
}

void fault_injector::run_after(seconds delay, std::function<void()> f)
{
    auto const timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::duration_cast<std::chrono::nanoseconds>(delay));
    timer->async_wait([timer, f = std::move(f)](auto) { f(); });
}

void fault_injector::start(bool faults)
{
    restart_exited();
    if (faults) {
        schedule_next();
    }
}

void fault_injector::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void fault_injector::schedule_next()
{
    std::exponential_distribution<double> interval(1 / mean_interval_s);
    timer_.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(
        seconds(interval(random_))));
    timer_.async_wait([this](boost::system::error_code ec) {
        if (ec || stopped_) {
            return;
        }
        auto kind = fault_kind_names[random_() % fault_kind_names.size()].first;
        // Replaces two thirds of the all_kill faults by host_kill, as killing
        // all hosts is rare.
        if (kind == fault_kind::all_kill && random_() % 3 != 0) {
            kind = fault_kind::host_kill;
        }
        ++counts_[kind];
        std::cout << "fault " << snipemill::name_of(fault_kind_names, kind)
                  << std::endl;
        inject(kind);
        schedule_next();
    });
}

void fault_injector::inject(fault_kind kind)
{
    auto const active_time = seconds(uniform(min_duration_s, max_duration_s));
    auto* const upstream = random_upstream();
    auto& store = fleet_.store();
    auto const set_store_fault = [&](store_state state) {
        store.set_state(state);
        fleet_.record_store_fault();
        run_after(active_time, [this, &store] {
            store.set_state(store_state::up);
            fleet_.record_store_fault();
        });
    };
    switch (kind) {
    case fault_kind::host_kill:
        kill_host(random_host());
        break;
    case fault_kind::host_pause:
        pause_host(random_host());
        break;
    case fault_kind::host_term:
        terminate_host(random_host());
        break;
    case fault_kind::all_kill:
        for (auto const& it : fleet_.hosts()) {
            kill_host(*it);
        }
        break;
    case fault_kind::store_link:
        set_store_link_fault(random_host());
        break;
    case fault_kind::store_down:
        set_store_fault(store_state::unavailable);
        break;
    case fault_kind::store_lost:
        set_store_fault(store_state::answers_lost);
        break;
    case fault_kind::store_compact:
        store.compact();
        fleet_.record_store_fault();
        break;
    case fault_kind::store_restore:
        restore_store();
        break;
    case fault_kind::manifest_change:
        change_manifest();
        break;
    case fault_kind::reshard:
        reshard();
        break;
    case fault_kind::odd_entries:
        write_invalid_entries();
        break;
    default:
        if (!upstream) {
            break;
        }
        if (kind == fault_kind::upstream_link) {
            set_upstream_link_fault(*upstream);
        }
        else if (kind == fault_kind::upstream_crash) {
            crash_upstream(*upstream);
        }
        else if (kind == fault_kind::upstream_drain) {
            drain_upstream(*upstream);
        }
        else {
            bool const slow = kind == fault_kind::upstream_slow;
            upstream->server->set_work_factor(slow ? 12 : 1);
            upstream->server->set_failure_ratio(slow ? 0 : 0.5);
            run_after(active_time, [upstream] {
                if (upstream->server) {
                    upstream->server->set_work_factor(1);
                    upstream->server->set_failure_ratio(0);
                }
            });
        }
    }
}

void fault_injector::kill_host(host& it)
{
    if (!it.process) {
        return;
    }
    fleet_.kill_process(it);
    run_after(seconds(restart_delay_s), [this, &it] { fleet_.start_host(it); });
}

void fault_injector::pause_host(host& it)
{
    if (!it.process || it.paused || it.draining) {
        return;
    }
    it.paused = true;
    it.process->signal(SIGSTOP);
    it.last_fault_at = std::chrono::steady_clock::now();
    run_after(seconds(uniform(min_duration_s, 3)), [&it, starts = it.starts] {
        if (it.process && it.starts == starts) {
            it.process->signal(SIGCONT);
            it.paused = false;
            it.last_fault_at = std::chrono::steady_clock::now();
        }
    });
}

void fault_injector::terminate_host(host& it)
{
    if (!it.process || it.paused || it.draining) {
        return;
    }
    it.draining = true;
    it.process->signal(SIGTERM);
    auto const sent = std::chrono::steady_clock::now();
    // A late exit is a violation only if the host had no fault in the last 4 s.
    bool const settled = sent - it.last_fault_at > std::chrono::seconds(4);
    run_after(std::chrono::duration<double>(shutdown_timeout),
              [this, &it, settled, starts = it.starts] {
                  if (!it.process || it.starts != starts) {
                      return;
                  }
                  if (it.process->running()) {
                      if (settled) {
                          checks_.report_violation(
                              it.name + " did not exit in time after SIGTERM");
                      }
                      kill_host(it);
                  }
              });
}

void fault_injector::restart_exited()
{
    for (auto const& it : fleet_.hosts()) {
        if (!it->process || it->process->running()) {
            continue;
        }
        auto const code = it->process->wait();
        if (!it->draining) {
            checks_.report_violation(it->name +
                                     " exited unexpectedly with code " +
                                     std::to_string(code));
        }
        it->process.reset();
        run_after(seconds(restart_delay_s),
                  [this, host = it.get()] { fleet_.start_host(*host); });
    }
    restart_timer_.expires_after(exit_poll_interval);
    restart_timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            restart_exited();
        }
    });
}

// Drawing link_fault::none resets the open connections instead.
void fault_injector::set_store_link_fault(host& it)
{
    auto const fault = static_cast<link_fault>(random_() % 4);
    if (fault == link_fault::none) {
        it.store_proxy->reset();
    }
    it.store_proxy->set_fault(fault);
    it.last_fault_at = std::chrono::steady_clock::now();
    run_after(seconds(uniform(min_duration_s, max_duration_s)), [&it] {
        it.store_proxy->set_fault(link_fault::none);
        it.last_fault_at = std::chrono::steady_clock::now();
    });
}

// Drawing link_fault::none resets the open connections instead.
void fault_injector::set_upstream_link_fault(upstream_entry& it)
{
    auto const fault = static_cast<link_fault>(random_() % 4);
    if (fault == link_fault::none) {
        it.proxy->reset();
    }
    it.proxy->set_fault(fault);
    run_after(seconds(uniform(min_duration_s, max_duration_s)), [&it] {
        if (it.proxy) {
            it.proxy->set_fault(link_fault::none);
        }
    });
}

void fault_injector::crash_upstream(upstream_entry& it)
{
    auto const instance = it.server->options().instance;
    auto const service = it.server->options().service;
    auto const number = it.data_centre == "a" ? 0U : 1U;
    fleet_.stop_upstream(it);
    run_after(seconds(entry_expiry_s), [this, instance] {
        fleet_.store().remove(names::upstreams, instance);
    });
    run_after(seconds(uniform(0.5, 2)), [this, service, number] {
        fleet_.add_upstream(service, number);
    });
}

void fault_injector::drain_upstream(upstream_entry& it)
{
    auto const instance = it.server->options().instance;
    fleet_.add_upstream(it.server->options().service,
                        it.data_centre == "a" ? 0 : 1);
    fleet_.start_drain(it);
    run_after(seconds(drain_time_s), [this, &it, instance] {
        fleet_.store().remove(names::upstreams, instance);
        fleet_.stop_upstream(it);
    });
}

// The operator and the upstreams write again what is lost. Entries of upstreams
// that have stopped since the copy lapse again.
void fault_injector::restore_store()
{
    auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(
        seconds(uniform(min_duration_s, max_duration_s)));
    fleet_.store().restore(std::chrono::steady_clock::now() - age);
    fleet_.record_store_fault();
    run_after(seconds(uniform(0, max_rewrite_s)), [this] {
        fleet_.write_again();
        fleet_.record_store_fault();
    });
    run_after(seconds(entry_expiry_s), [this] {
        fleet_.remove_stopped_entries();
        fleet_.record_store_fault();
    });
}

void fault_injector::change_manifest()
{
    auto next = fleet_.manifest();
    next.version += 1 + random_() % 5;
    if (random_() % 2 == 0) {
        next.extra_route = !next.extra_route;
    }
    else {
        next.timeout_ms = 700 + static_cast<unsigned>(random_() % 300);
    }
    fleet_.publish(std::move(next));
}

void fault_injector::reshard()
{
    auto const removed = *fleet_.manifest().shards.begin();
    auto const added = shard_name(next_shard_++);
    for (std::size_t i = 0; i < fleet_.options().replicas; ++i) {
        fleet_.add_upstream(added, i);
    }
    run_after(seconds(1.5), [this, removed, added] {
        auto next = fleet_.manifest();
        ++next.version;
        if (next.shards.erase(removed) == 0) {
            return;
        }
        next.shards.insert(added);
        fleet_.publish(std::move(next));
        run_after(seconds(3.5), [this, removed] {
            for (auto const& it : fleet_.upstreams()) {
                if (it->server && !it->draining &&
                    it->server->options().service == removed) {
                    // No route uses the service now. The mark keeps the
                    // upstream from being chosen for a fault; the time 1 h
                    // ahead keeps check_draining() from reporting its requests.
                    it->draining = true;
                    it->draining_since = std::chrono::steady_clock::now() +
                                         std::chrono::hours(1);
                }
            }
        });
    });
}

// Writes upstream entries that cannot be decoded, and the entry of a host whose
// clock is 10 min ahead.
void fault_injector::write_invalid_entries()
{
    auto& store = fleet_.store();
    store.put(names::upstreams, "odd-1", standin::entry_without_address());
    store.put(names::upstreams, "odd-2", standin::entry_in_unknown_state());
    auto const ahead = std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count() +
                       600'000;
    store.put(names::hosts, "odd-host",
              {{"renewed_ms", ahead},
               {"relay_port", 1},
               {"cores", 0.5},
               {"data_centre", "a"},
               {"ip", "127.0.0.1"}});
    run_after(seconds(max_duration_s),
              [&store] { store.remove(names::hosts, "odd-host"); });
}

} // namespace soak
