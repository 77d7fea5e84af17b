#pragma once

#include "core/base/rng.hpp"
#include "core/rollouts/decider_rank.hpp"
#include "core/rollouts/rollout_run.hpp"
#include "core/rollouts/version_counters.hpp"
#include "core/rollouts/version_policy.hpp"

#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace snipemill::test {

// A request as the model of the new version sees it.
struct sample_request
{
    duration elapsed{}; // since the order
    std::string route;
    double load = 0; // requests/s of one new upstream, recently
};

struct sample_answer
{
    bool failed = false;
    double slower = 1; // times the usual latency
};

// A fleet of hosts, a store and a service whose new version behaves as a test
// says, in virtual time.
class rollout_fixture
{
public:
    static constexpr duration tick = from_ms(10);

    struct sim_host
    {
        std::string name;
        std::uint64_t incarnation = 1;
        bool alive = true;
        bool frozen = false;
        bool reaches_store = true;
        bool reaches_hosts = true;
        version_policy policy;
        version_counters counters;
        std::unique_ptr<rollout_run> run;
        std::pair<std::uint64_t, std::uint64_t> seen; // era and revision
        duration phase{};                             // of its timer
    };

    struct options
    {
        std::size_t hosts = 7;
        double rate = 60; // requests/s to the service
        duration time_limit = from_ms(12'000);
        std::size_t upstreams = 6;
        double loss = 0.02; // of datagrams
        std::uint64_t seed = 1;
    };

    explicit rollout_fixture(options o) : o_(o), random_(o.seed)
    {
        order_.name = "r";
        order_.service = "s";
        order_.target_version = "v2";
        order_.time_limit = o.time_limit;
        order_.revision = 10;
        for (std::size_t i = 0; i < o.upstreams; ++i) {
            upstreams_.push_back({.instance = "a" + std::to_string(i),
                                  .service = "s",
                                  .started_ms = 100,
                                  .version = "v1"});
            upstreams_.push_back({.instance = "b" + std::to_string(i),
                                  .service = "s",
                                  .started_ms = 5000,
                                  .version = "v2"});
        }
        for (std::size_t i = 0; i < o.hosts; ++i) {
            auto it = std::make_unique<sim_host>();
            it->name = "h" + std::to_string(i);
            it->phase = from_ms(static_cast<std::int64_t>(i * 30 % 250));
            hosts.push_back(std::move(it));
        }
        for (auto& it : hosts) {
            start(*it);
        }
    }

    // Runs until the time after the order.
    void run_to(duration end)
    {
        while (now_ < start_ + end) {
            now_ += tick;
            step();
        }
    }
    void run_out() { run_to(o_.time_limit + from_ms(200)); }

    void start(sim_host& it)
    {
        it.alive = true;
        it.policy = version_policy();
        it.counters = version_counters();
        it.run.reset();
        it.seen = {};
        read_store(it);
    }
    void restart(sim_host& it)
    {
        ++it.incarnation;
        start(it);
    }
    sim_host* decider()
    {
        for (auto& it : hosts) {
            if (it->alive && it->run && it->run->deciding()) {
                return it.get();
            }
        }
        return nullptr;
    }
    std::size_t deciders()
    {
        std::size_t n = 0;
        for (auto& it : hosts) {
            n += it->alive && it->run && it->run->deciding() ? 1 : 0;
        }
        return n;
    }
    duration elapsed() const { return now_ - start_; }
    double limit() const
    {
        return bounds.canary_share * static_cast<double>(requests) +
               bounds.canary_slack;
    }

    rollout_bounds bounds;
    std::vector<std::unique_ptr<sim_host>> hosts;
    std::function<sample_answer(sample_request const&)> model =
        [](auto const&) { return sample_answer{}; };
    std::function<sample_answer(sample_request const&)> old_model =
        [](auto const&) { return sample_answer{}; };
    bool store_up = true;
    // Unanswered writes that the store executes later.
    bool store_delays_writes = false;
    // The store comes back from a copy with this entry.
    void restore(rollout_entry const& copy)
    {
        auto const era = order_.era + 1;
        order_ = copy;
        order_.era = era;
    }
    rollout_state state() const { return order_.state(); }
    rollout_entry& entry() { return order_; }

    std::uint64_t requests = 0;
    std::uint64_t target_requests = 0;
    std::uint64_t bad = 0;
    std::uint64_t lost = 0; // sent to upstreams that have stopped
    std::optional<duration> ended_at;
    std::optional<duration> last_target;
    std::optional<duration> bad_50th;
    std::map<std::uint64_t, std::string> log; // by number
    std::uint64_t steps = 0;
    double max_load = 0; // of one new upstream

private:
    struct event
    {
        time_point at{};
        std::function<void()> f;
    };

    void after(duration d, std::function<void()> f)
    {
        events_.emplace(now_ + d, std::move(f));
    }
    duration latency()
    {
        return from_ms(1) +
               from_ms(static_cast<std::int64_t>(random_.below(4)));
    }
    void step()
    {
        while (!events_.empty() && events_.begin()->first <= now_) {
            auto f = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            f();
        }
        for (auto& it : hosts) {
            if (!it->alive || it->frozen) {
                continue;
            }
            if (it->reaches_store && store_up &&
                it->seen != std::pair(order_.era, order_.revision)) {
                read_store(*it);
            }
            if ((now_.time_since_epoch() + it->phase) % from_ms(250) ==
                duration::zero()) {
                on_timer(*it);
            }
        }
        traffic();
        load_ *= std::exp(-to_ms(tick) / 500);
    }
    void read_store(sim_host& it)
    {
        it.policy.update(upstreams_, {order_}, true);
        it.counters.set_targets({{"s", "v2"}});
        if (!it.run) {
            make_run(it);
        }
        it.run->on_entry(order_, now_);
        it.seen = {order_.era, order_.revision};
    }
    void make_run(sim_host& it)
    {
        auto const decider = it.name + "/" + std::to_string(it.incarnation);
        it.run = std::make_unique<rollout_run>(
            rollout_run::options{
                .decider = decider,
                .bounds = bounds,
                .write =
                    [this, &it, n = it.incarnation](
                        std::uint64_t revision, rollout_status const& status) {
                        put(it, n, revision, status);
                    },
                .instruct =
                    [this, &it](rollout_instruction const& message) {
                        instruct(it, message);
                    },
                .log =
                    [this, &it](char const* name, auto fields) {
                        std::string line = it.name + " " + name;
                        for (auto const& [key, value] : fields) {
                            line.append(" ").append(key).append("=").append(
                                value);
                        }
                        log[steps++] =
                            std::to_string(static_cast<int>(to_ms(elapsed()))) +
                            " " + line;
                    }},
            order_, start_);
    }
    void put(sim_host& it, std::uint64_t incarnation, std::uint64_t revision,
             rollout_status const& status)
    {
        auto const reply = [this, &it, incarnation](
                               status_write result,
                               std::optional<rollout_entry> const& entry) {
            after(latency(), [this, &it, incarnation, result, entry] {
                if (it.alive && it.incarnation == incarnation) {
                    it.run->on_written(result, entry, now_);
                }
            });
        };
        if (!store_up || !it.reaches_store) {
            reply(status_write::unknown, std::nullopt);
            return;
        }
        auto const delay = store_delays_writes ? from_ms(2500) : from_ms(20);
        if (store_delays_writes) {
            reply(status_write::unknown, std::nullopt);
        }
        after(delay, [this, revision, status, reply,
                      delayed = store_delays_writes] {
            if (order_.revision != revision) {
                delayed ? void() : reply(status_write::conflict, std::nullopt);
                return;
            }
            order_.revision += 1;
            order_.status = status;
            if (!ended_at && (state() == rollout_state::succeeded ||
                              state() == rollout_state::rolled_back)) {
                ended_at = elapsed();
            }
            delayed ? void() : reply(status_write::done, order_);
        });
    }
    void send(sim_host& from, sim_host& to, std::function<void()> f)
    {
        bool const passes =
            &from == &to || (from.reaches_hosts && to.reaches_hosts &&
                             random_.unit() >= o_.loss);
        if (passes) {
            after(&from == &to ? duration::zero() : latency(),
                  [&to, f = std::move(f)] {
                      if (to.alive && !to.frozen) {
                          f();
                      }
                  });
        }
    }
    void instruct(sim_host& from, rollout_instruction const& message)
    {
        for (auto& to : hosts) {
            send(from, *to, [this, &to = *to, message] {
                if (to.policy.on_instruction(message, now_) && to.run) {
                    to.run->on_instruction(message, now_);
                }
            });
        }
    }
    void on_timer(sim_host& it)
    {
        auto reports = it.counters.reports();
        for (auto& report : reports) {
            report.host = it.name;
            report.incarnation = it.incarnation;
            auto const shares = it.policy.shares(now_);
            auto const& share = shares.at("s");
            report.share = share.serving == "v2" ? 1 : share.share;
            for (auto& to : hosts) {
                if (to->name != it.policy.decider("s")) {
                    continue;
                }
                send(it, *to, [this, &to = *to, report] {
                    if (to.run) {
                        to.run->on_report(report, now_);
                    }
                });
            }
        }
        std::vector<fleet_host> fleet;
        std::vector<std::string> names;
        for (auto const& host : hosts) {
            fleet.push_back({.name = host->name, .relay_port = 1});
            if (host->alive) {
                names.push_back(host->name);
            }
        }
        it.run->on_tick(
            {.rank = decider_rank(fleet, it.name),
             .hosts = names,
             .in_use = it.policy.in_use("s"),
             .old_upstreams = o_.upstreams,
             .new_upstreams = o_.upstreams,
             .wall_clock_ms =
                 1'000'000 + now_.time_since_epoch().count() / 1000},
            now_);
    }
    void traffic()
    {
        auto expected = o_.rate * to_ms(tick) / 1000;
        while (expected > 0 && (expected >= 1 || random_.unit() < expected)) {
            expected -= 1;
            auto& host =
                *hosts[random_.below(static_cast<std::uint32_t>(hosts.size()))];
            if (host.alive && !host.frozen) {
                request(host);
            }
        }
    }
    void request(sim_host& host)
    {
        auto const shares = host.policy.shares(now_);
        auto const& share = shares.at("s");
        bool const canary = share.share > 0 && random_.unit() < share.share;
        auto const version = canary ? share.canary : share.serving;
        std::string const route = random_.below(4) == 0 ? "rare" : "main";
        bool const target = version == "v2";
        bool const counted = elapsed() <= o_.time_limit;
        requests += counted ? 1 : 0;
        host.counters.on_sent("s", route, version);
        if (target) {
            target_requests += counted ? 1 : 0;
            last_target = elapsed();
            // Shared by as many new upstreams as the share is worth.
            auto const used =
                std::max(1.0, std::round((share.share > 0 ? share.share : 1) *
                                         static_cast<double>(o_.upstreams)));
            load_ += 1000.0 / 500 / used;
            max_load = std::max(max_load, load_);
        }
        sample_request const in{
            .elapsed = elapsed(), .route = route, .load = target ? load_ : 0};
        auto answer = target ? model(in) : old_model(in);
        bool const gone = !target && state() == rollout_state::succeeded;
        lost += gone ? 1 : 0;
        answer.failed = answer.failed || gone;
        if (target && (answer.failed || answer.slower >= 2)) {
            ++bad;
            if (bad == 50) {
                bad_50th = elapsed();
            }
        }
        auto const ms = (30 + 40 * random_.unit()) * answer.slower;
        auto const took = from_ms(static_cast<std::int64_t>(ms));
        after(took, [&host, n = host.incarnation, route, version, took,
                     failed = answer.failed] {
            if (host.incarnation != n) {
                return;
            }
            if (failed) {
                host.counters.on_failed("s", route, version);
            }
            else {
                host.counters.on_answered("s", route, version, took);
            }
        });
    }

    options o_;
    rng random_;
    time_point start_{from_ms(1'000'000)};
    time_point now_ = start_;
    rollout_entry order_;
    std::vector<upstream_record> upstreams_;
    std::multimap<time_point, std::function<void()>> events_;
    double load_ = 0; // requests/s of one new upstream
};

} // namespace snipemill::test
