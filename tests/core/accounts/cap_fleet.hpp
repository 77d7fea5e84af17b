#pragma once

// Included before CppUTest's header, whose macro for new breaks it.
#include "core/accounts/cap_client.hpp"
#include "core/accounts/cap_owner.hpp"
#include "core/base/rng.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace snipemill::test {

struct cap_fleet_options
{
    std::uint64_t seed = 1;
    std::string account = "acme";
    std::uint32_t data_centres = 3;
    std::uint32_t hosts = 12;  // running from the start
    std::uint32_t joining = 4; // that may join later
    usage_cap cap{.rate = 20, .burst = 10};
    usage_tolerance tolerance{.slack = 20};
    double demand = 120; // requests/s over all hosts
    double loss = 0;     // of datagrams, ratio
    double repeated = 0; // datagrams that arrive twice, ratio
    duration longest_delay = from_ms(4);
    duration longest_list_lag = from_ms(1200);
    cap_owner_settings owner{};
    cap_client_settings client{};
};

// Hosts with one account, datagrams between them and a list of hosts that each
// learns of with a lag, on a virtual clock.
class cap_fleet
{
public:
    explicit cap_fleet(cap_fleet_options const& o) : o_(o), random_(o.seed)
    {
        for (std::uint32_t i = 0; i < o_.hosts + o_.joining; ++i) {
            hosts_.push_back(std::make_unique<host>());
            auto& it = *hosts_.back();
            it.entry = {.name = "h" + std::to_string(i),
                        .data_centre =
                            "d" + std::to_string(i % o_.data_centres),
                        .ip = "192.0.2.1",
                        .relay_port = 7};
            if (i < o_.hosts) {
                listed_.insert(i);
            }
        }
        for (auto const i : listed_) {
            start_process(i);
        }
        schedule_arrival();
    }

    time_point now() const { return now_; }
    std::vector<time_point> const& spent() const { return spent_; }
    std::uint64_t over_cap() const { return over_cap_; }
    std::uint64_t ungranted() const { return ungranted_; }
    std::uint64_t datagrams() const { return datagrams_; }
    std::vector<duration> const& promised() const { return promised_; }

    void run_for(duration d)
    {
        auto const end = now_ + d;
        while (!events_.empty() && events_.begin()->first <= end) {
            auto const it = events_.begin();
            now_ = it->first;
            auto const f = std::move(it->second);
            events_.erase(it);
            f();
        }
        now_ = end;
    }

    void at(duration after, std::function<void()> f)
    {
        events_.emplace(now_ + after, std::move(f));
    }

    void set_demand(double per_second) { o_.demand = per_second; }
    void set_loss(double ratio) { o_.loss = ratio; }
    void set_cap(usage_cap cap)
    {
        o_.cap = cap;
        spread_list();
    }
    void freeze(std::uint32_t i, duration d)
    {
        auto& it = *hosts_[i];
        it.frozen_until = std::max(it.frozen_until, now_ + d);
    }
    // The store still lists the host.
    void kill(std::uint32_t i) { hosts_[i]->process.reset(); }
    void restart(std::uint32_t i)
    {
        if (listed_.contains(i)) {
            start_process(i);
        }
    }
    void join(std::uint32_t i)
    {
        if (listed_.insert(i).second) {
            start_process(i);
            spread_list();
        }
    }
    // The host's entry is removed; the host goes on.
    void leave(std::uint32_t i)
    {
        if (listed_.size() > 1 && listed_.erase(i) != 0) {
            spread_list();
        }
    }
    // No datagrams between the data centre and the others.
    void cut(std::uint32_t data_centre, bool on)
    {
        on ? (void)cut_.insert(data_centre) : (void)cut_.erase(data_centre);
    }
    // No datagrams from the data centre to the others; theirs arrive.
    void mute(std::uint32_t data_centre, bool on)
    {
        on ? (void)muted_.insert(data_centre) : (void)muted_.erase(data_centre);
    }
    // Cuts the host off from the store: it learns of no change of the list.
    void cut_store(std::uint32_t i, bool on) { hosts_[i]->no_store = on; }

    // The host that owns the account by the store's list.
    std::uint32_t owner() const { return index_of(plan_for(0).owner.name); }
    std::uint32_t next_owner_if_joins(std::uint32_t i) const
    {
        auto with = listed_;
        with.insert(i);
        return index_of(plan_for(0, with).owner.name);
    }

    // Most requests in any window.
    std::size_t most_in_window() const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t i = 0; i < spent_.size(); ++i) {
            while (spent_[i] - spent_[first] >= o_.tolerance.window) {
                ++first;
            }
            most = std::max(most, i - first + 1);
        }
        return most;
    }

    double limit() const
    {
        auto const s = std::chrono::duration<double>(o_.tolerance.window);
        return (o_.cap.rate * s.count() + o_.cap.burst) *
                   (1 + o_.tolerance.overage) +
               o_.tolerance.slack;
    }

private:
    struct host_process
    {
        std::unique_ptr<cap_owner> owner;
        std::unique_ptr<cap_client> client;
    };

    struct host
    {
        fleet_host entry;
        std::shared_ptr<host_process> process;
        time_point frozen_until{};
        bool no_store = false;
    };

    std::uint32_t index_of(std::string const& name) const
    {
        return static_cast<std::uint32_t>(std::stoul(name.substr(1)));
    }

    cap_plan plan_of(std::uint32_t i, std::set<std::uint32_t> const& list) const
    {
        std::vector<fleet_host> entries;
        entries.reserve(list.size());
        for (auto const it : list) {
            entries.push_back(hosts_[it]->entry);
        }
        return cap_plan(entries, hosts_[i]->entry.data_centre,
                        {{.name = o_.account, .cap = o_.cap}});
    }

    cap_grantors plan_for(std::uint32_t i) const
    {
        return plan_for(i, listed_);
    }
    cap_grantors plan_for(std::uint32_t i,
                          std::set<std::uint32_t> const& list) const
    {
        return *plan_of(i, list).find(o_.account);
    }

    void start_process(std::uint32_t i)
    {
        auto& it = *hosts_[i];
        it.process = std::make_shared<host_process>();
        auto owner = o_.owner;
        owner.host = it.entry.name;
        owner.tolerance = o_.tolerance;
        owner.run = ++runs_;
        auto client = o_.client;
        client.host = it.entry.name;
        client.tolerance = o_.tolerance;
        client.run = ++runs_;
        it.process->owner = std::make_unique<cap_owner>(
            owner, [this, i](fleet_host const& to, cap_request const& r) {
                send(i, index_of(to.name), r);
            });
        it.process->client = std::make_unique<cap_client>(
            client, [this, i](fleet_host const& to, cap_request const& r) {
                send(i, index_of(to.name), r);
            });
        apply_list(i);
    }

    void apply_list(std::uint32_t i)
    {
        auto const plan = plan_of(i, listed_);
        hosts_[i]->process->owner->set_plan(plan, now_);
        hosts_[i]->process->client->set_plan(plan);
    }

    void spread_list()
    {
        for (std::uint32_t i = 0; i < hosts_.size(); ++i) {
            learn_list_later(i, below(o_.longest_list_lag));
        }
    }

    void learn_list_later(std::uint32_t i, duration after)
    {
        on_host(i, after, [this, i] {
            if (hosts_[i]->no_store) {
                learn_list_later(i, from_ms(50));
                return;
            }
            apply_list(i);
        });
    }

    duration below(duration d)
    {
        auto const n = static_cast<std::uint32_t>(d.count()) + 1;
        return duration(random_.below(n));
    }

    // Runs f at the host when it is not frozen, unless its process ends before.
    void on_host(std::uint32_t i, duration after, std::function<void()> f)
    {
        at(after,
           [this, i, f = std::move(f), of = std::weak_ptr(hosts_[i]->process)] {
               auto const running = of.lock();
               if (!running || running != hosts_[i]->process) {
                   return;
               }
               if (now_ < hosts_[i]->frozen_until) {
                   on_host(i, hosts_[i]->frozen_until - now_, f);
                   return;
               }
               f();
               arm(i);
           });
    }

    void arm(std::uint32_t i)
    {
        auto const at = hosts_[i]->process->client->next_timer();
        if (!at) {
            return;
        }
        on_host(i, std::max(duration(1), *at - now_),
                [this, i] { hosts_[i]->process->client->on_timer(now_); });
    }

    bool reaches(std::uint32_t from, std::uint32_t to) const
    {
        return from % o_.data_centres == to % o_.data_centres ||
               (!muted_.contains(from % o_.data_centres) &&
                !cut_.contains(from % o_.data_centres) &&
                !cut_.contains(to % o_.data_centres));
    }

    template <class Message>
    void send(std::uint32_t from, std::uint32_t to, Message const& message)
    {
        if (from == to) {
            receive(from, to, message);
            return;
        }
        ++datagrams_;
        if (!reaches(from, to) || !hosts_[to]->process ||
            random_.unit() < o_.loss) {
            return;
        }
        int const copies = random_.unit() < o_.repeated ? 2 : 1;
        for (int n = 0; n < copies; ++n) {
            on_host(to, from_ms(1) + below(o_.longest_delay),
                    [this, from, to, message] { receive(from, to, message); });
        }
    }

    void receive(std::uint32_t from, std::uint32_t to, cap_request const& r)
    {
        send(to, from, hosts_[to]->process->owner->respond(r, now_));
    }
    void receive(std::uint32_t, std::uint32_t to, cap_grant const& g)
    {
        if (g.outcome == cap_outcome::contact) {
            hosts_[to]->process->owner->on_contact(g, now_);
            return;
        }
        hosts_[to]->process->client->on_grant(g, now_);
    }

    void schedule_arrival()
    {
        auto const mean = 1e6 / std::max(o_.demand, 1e-3);
        auto const wait = std::max<std::int64_t>(
            1, static_cast<std::int64_t>(2 * mean * random_.unit()));
        at(duration(wait), [this] {
            arrive();
            schedule_arrival();
        });
    }

    void arrive()
    {
        auto const i = random_.below(static_cast<std::uint32_t>(hosts_.size()));
        if (!hosts_[i]->process) {
            return;
        }
        on_host(i, duration(0), [this, i] {
            hosts_[i]->process->client->admit(
                o_.account, now_ + from_ms(1000), now_,
                [this](cap_decision const& it) {
                    if (it.admitted()) {
                        spent_.push_back(now_);
                        return;
                    }
                    ++(it.over_cap() ? over_cap_ : ungranted_);
                    if (it.over_cap()) {
                        promised_.push_back(it.retry_after);
                    }
                });
        });
    }

    cap_fleet_options o_;
    rng random_;
    time_point now_ = time_point(from_ms(1'000'000));
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<std::unique_ptr<host>> hosts_;
    std::set<std::uint32_t> listed_;
    std::set<std::uint32_t> cut_;   // data centres
    std::set<std::uint32_t> muted_; // data centres
    std::uint32_t runs_ = 0;
    std::vector<time_point> spent_;
    std::vector<duration> promised_;
    std::uint64_t over_cap_ = 0;
    std::uint64_t ungranted_ = 0;
    std::uint64_t datagrams_ = 0;
};

} // namespace snipemill::test
