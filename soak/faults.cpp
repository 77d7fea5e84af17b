#include "faults.hpp"

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

// Mean time between two faults, and how long one holds.
constexpr double mean_gap_s = 0.8;
constexpr double shortest_s = 0.3;
constexpr double longest_s = 4;

// A process that ended is started again after this time, as on the platform.
constexpr double restart_s = 0.4;

// Time that a process has between SIGTERM and its end.
constexpr std::chrono::milliseconds grace{6000};

constexpr std::chrono::milliseconds supervise_interval{100};

// Entries of an upstream that fell silent lapse after this time.
constexpr double lapse_s = 3.6;

// An upstream that has announced its leave goes on for this time.
constexpr double drain_s = 4.5;

} // namespace

fault_source::fault_source(boost::asio::io_context& io, world& w,
                           checker& checks, std::uint64_t seed)
    : io_(io), world_(w), checks_(checks), random_(seed), timer_(io),
      supervise_timer_(io)
{}

double fault_source::uniform(double from, double to)
{
    return std::uniform_real_distribution<double>(from, to)(random_);
}

host& fault_source::any_host()
{
    return *world_.hosts()[random_() % world_.hosts().size()];
}

upstream_entry* fault_source::any_upstream()
{
    std::vector<upstream_entry*> alive;
    for (auto const& it : world_.upstreams()) {
        if (!it->gone && !it->draining) {
            alive.push_back(it.get());
        }
    }
    return alive.empty() ? nullptr : alive[random_() % alive.size()];
}

void fault_source::after(seconds delay, std::function<void()> f)
{
    auto const timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::duration_cast<std::chrono::nanoseconds>(delay));
    timer->async_wait([timer, f = std::move(f)](auto) { f(); });
}

void fault_source::start()
{
    supervise();
    next();
}

void fault_source::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void fault_source::next()
{
    std::exponential_distribution<double> gap(1 / mean_gap_s);
    timer_.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(
        seconds(gap(random_))));
    timer_.async_wait([this](boost::system::error_code ec) {
        if (ec || stopped_) {
            return;
        }
        auto kind = fault_kind_names[random_() % fault_kind_names.size()].first;
        // All at once is rare.
        if (kind == fault_kind::all_kill && random_() % 3 != 0) {
            kind = fault_kind::host_kill;
        }
        ++counts_[kind];
        std::cout << "fault " << snipemill::name_of(fault_kind_names, kind)
                  << std::endl;
        inject(kind);
        next();
    });
}

void fault_source::inject(fault_kind kind)
{
    auto const hold = seconds(uniform(shortest_s, longest_s));
    auto* const up = any_upstream();
    auto& store = world_.platform();
    auto const break_store = [&](store_state state) {
        store.set_state(state);
        world_.disturb_store();
        after(hold, [this, &store] {
            store.set_state(store_state::up);
            world_.disturb_store();
        });
    };
    switch (kind) {
    case fault_kind::host_kill:
        kill(any_host());
        break;
    case fault_kind::host_pause:
        pause(any_host());
        break;
    case fault_kind::host_term:
        term(any_host());
        break;
    case fault_kind::all_kill:
        for (auto const& it : world_.hosts()) {
            kill(*it);
        }
        break;
    case fault_kind::store_link:
        cut_store(any_host());
        break;
    case fault_kind::store_down:
        break_store(store_state::unavailable);
        break;
    case fault_kind::store_lost:
        break_store(store_state::answers_lost);
        break;
    case fault_kind::store_compact:
        store.compact();
        world_.disturb_store();
        break;
    case fault_kind::manifest_change:
        change_manifest();
        break;
    case fault_kind::reshard:
        reshard();
        break;
    case fault_kind::odd_entries:
        write_odd_entries();
        break;
    default:
        if (!up) {
            break;
        }
        if (kind == fault_kind::upstream_link) {
            cut_upstream(*up);
        }
        else if (kind == fault_kind::upstream_crash) {
            crash_upstream(*up);
        }
        else if (kind == fault_kind::upstream_drain) {
            drain_upstream(*up);
        }
        else {
            bool const slow = kind == fault_kind::upstream_slow;
            up->server->set_slowness(slow ? 12 : 1);
            up->server->set_failures(slow ? 0 : 0.5);
            after(hold, [up] {
                if (up->server) {
                    up->server->set_slowness(1);
                    up->server->set_failures(0);
                }
            });
        }
    }
}

void fault_source::kill(host& it)
{
    if (!it.process) {
        return;
    }
    world_.end_host(it);
    after(seconds(restart_s), [this, &it] { world_.start_host(it); });
}

void fault_source::pause(host& it)
{
    if (!it.process || it.paused || it.leaving) {
        return;
    }
    it.paused = true;
    it.process->signal(SIGSTOP);
    it.disturbed = std::chrono::steady_clock::now();
    after(seconds(uniform(shortest_s, 3)), [&it, starts = it.starts] {
        if (it.process && it.starts == starts) {
            it.process->signal(SIGCONT);
            it.paused = false;
            it.disturbed = std::chrono::steady_clock::now();
        }
    });
}

void fault_source::term(host& it)
{
    if (!it.process || it.paused || it.leaving) {
        return;
    }
    it.leaving = true;
    it.process->signal(SIGTERM);
    auto const sent = std::chrono::steady_clock::now();
    bool const calm = sent - it.disturbed > std::chrono::seconds(4);
    after(std::chrono::duration<double>(grace),
          [this, &it, calm, starts = it.starts] {
              if (!it.process || it.starts != starts) {
                  return;
              }
              if (it.process->running()) {
                  if (calm) {
                      checks_.fail(it.name + " did not end after SIGTERM");
                  }
                  kill(it);
              }
          });
}

void fault_source::supervise()
{
    for (auto const& it : world_.hosts()) {
        if (!it->process || it->process->running()) {
            continue;
        }
        auto const code = it->process->wait();
        if (!it->leaving) {
            checks_.fail(it->name + " ended by itself with code " +
                         std::to_string(code));
        }
        it->process.reset();
        after(seconds(restart_s),
              [this, host = it.get()] { world_.start_host(*host); });
    }
    supervise_timer_.expires_after(supervise_interval);
    supervise_timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            supervise();
        }
    });
}

void fault_source::cut_store(host& it)
{
    auto const fault = static_cast<link_fault>(random_() % 4);
    if (fault == link_fault::none) {
        it.store->reset();
    }
    it.store->set_fault(fault);
    it.disturbed = std::chrono::steady_clock::now();
    after(seconds(uniform(shortest_s, longest_s)), [&it] {
        it.store->set_fault(link_fault::none);
        it.disturbed = std::chrono::steady_clock::now();
    });
}

void fault_source::cut_upstream(upstream_entry& it)
{
    auto const fault = static_cast<link_fault>(random_() % 4);
    if (fault == link_fault::none) {
        it.proxy->reset();
    }
    it.proxy->set_fault(fault);
    after(seconds(uniform(shortest_s, longest_s)), [&it] {
        if (it.proxy) {
            it.proxy->set_fault(link_fault::none);
        }
    });
}

void fault_source::crash_upstream(upstream_entry& it)
{
    auto const instance = it.server->options().instance;
    auto const service = it.server->options().service;
    auto const number = it.data_centre == "a" ? 0U : 1U;
    world_.crash(it);
    after(seconds(lapse_s), [this, instance] {
        world_.platform().remove(names::upstreams, instance);
    });
    after(seconds(uniform(0.5, 2)),
          [this, service, number] { world_.add_upstream(service, number); });
}

void fault_source::drain_upstream(upstream_entry& it)
{
    auto const instance = it.server->options().instance;
    world_.add_upstream(it.server->options().service,
                        it.data_centre == "a" ? 0 : 1);
    world_.drain(it);
    after(seconds(drain_s), [this, &it, instance] {
        world_.platform().remove(names::upstreams, instance);
        world_.crash(it);
    });
}

void fault_source::change_manifest()
{
    auto next = world_.manifest();
    next.version += 1 + random_() % 5;
    if (random_() % 2 == 0) {
        next.extra_route = !next.extra_route;
    }
    else {
        next.timeout_ms = 700 + static_cast<unsigned>(random_() % 300);
    }
    world_.publish(std::move(next));
}

void fault_source::reshard()
{
    auto const old = *world_.manifest().shards.begin();
    auto const fresh = shard_name(next_shard_++);
    for (std::size_t i = 0; i < world_.options().replicas; ++i) {
        world_.add_upstream(fresh, i);
    }
    after(seconds(1.5), [this, old, fresh] {
        auto next = world_.manifest();
        ++next.version;
        if (next.shards.erase(old) == 0) {
            return;
        }
        next.shards.insert(fresh);
        world_.publish(std::move(next));
        after(seconds(3.5), [this, old] {
            for (auto const& it : world_.upstreams()) {
                if (it->server && !it->draining &&
                    it->server->options().service == old) {
                    it->draining = true; // not checked: no route names it
                    it->drained_at = std::chrono::steady_clock::now() +
                                     std::chrono::hours(1);
                }
            }
        });
    });
}

// Entries that another writer has spoilt, and a host whose clock is far ahead.
void fault_source::write_odd_entries()
{
    auto& store = world_.platform();
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
    after(seconds(longest_s),
          [&store] { store.remove(names::hosts, "odd-host"); });
}

} // namespace soak
