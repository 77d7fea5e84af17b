#pragma once

#include "core/base/rng.hpp"
#include "core/config/config_spread.hpp"
#include "core/config/fixtures.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace snipemill::test {

// Hosts that spread the configuration, with a platform and a network whose
// faults a test sets. Membership is given, with a delay for dead hosts.
class spread_sim
{
public:
    struct host
    {
        std::unique_ptr<config_spread> spread;
        member_info info;
        bool up = true;
        std::uint64_t start = 0; // tells late answers of an earlier start
        time_point paused_until{};
        std::uint64_t number = 0;
        bool went_back = false;
    };

    spread_sim(std::uint64_t seed, int data_centres, int hosts_each)
        : random_(seed)
    {
        for (int i = 0; i < data_centres * hosts_each; ++i) {
            auto const n = std::to_string(i);
            hosts_.push_back(
                {.info = {.id = host_id("h" + n),
                          .data_centre = "dc" + std::to_string(i / hosts_each),
                          .ip = "10.0.0." + n,
                          .peer_port = 7000}});
        }
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            start(i);
        }
    }

    void accept_ticket()
    {
        auto const n = head.number + 1;
        auto t =
            n == 1 ? first_ticket() : next_ticket(n, "n" + std::to_string(n));
        head.number = n;
        head.tickets.push_back(t);
        // A short head, so that reads often need the state too.
        if (head.tickets.size() > 3) {
            head.base = n - 1;
            head.tickets = {t};
        }
        apply_ticket(state, t);
        ++revision;
    }

    void run_for(duration d)
    {
        for (auto const end = now_ + d; now_ < end;) {
            now_ += from_ms(10);
            while (!events_.empty() && events_.begin()->first <= now_) {
                auto f = std::move(events_.begin()->second);
                events_.erase(events_.begin());
                f();
            }
            for (std::size_t i = 0; i < hosts_.size(); ++i) {
                run_host(i);
            }
        }
    }

    // Starts a host, or replaces it: the new one knows nothing.
    void start(std::size_t i)
    {
        auto& h = hosts_[i];
        h.spread = std::make_unique<config_spread>(config_spread_settings(),
                                                   h.info, random_.next());
        h.up = true;
        h.number = 0;
        ++h.start;
        std::vector<member_seed> seeds;
        for (auto const& it : hosts_) {
            if (it.info.data_centre == h.info.data_centre) {
                seeds.push_back({it.info.ip, it.info.peer_port});
            }
        }
        spread_actions out;
        h.spread->start(now_, seeds, out);
        perform(i, out);
        members_changed();
    }
    void kill(std::size_t i)
    {
        hosts_[i].up = false;
        events_.emplace(now_ + from_ms(4000), [this] { members_changed(); });
    }
    void pause(std::size_t i, duration d) { hosts_[i].paused_until = now_ + d; }

    bool running(std::size_t i) const
    {
        return hosts_[i].up && hosts_[i].paused_until <= now_;
    }
    bool all_newest() const
    {
        for (auto const& h : hosts_) {
            if (h.up && (h.spread->store().number() != head.number ||
                         !h.spread->ready())) {
                return false;
            }
        }
        return true;
    }

    config_head head;
    config_snapshot state;
    std::uint64_t revision = 1;
    bool platform_up = true;
    std::set<std::string> cut_off; // data centres without the platform
    double loss = 0;
    std::vector<host>& hosts() { return hosts_; }
    rng& random() { return random_; }
    time_point now() const { return now_; }

private:
    void run_host(std::size_t i)
    {
        auto& h = hosts_[i];
        if (!running(i)) {
            return;
        }
        if (h.spread->next_timer() <= now_) {
            spread_actions out;
            h.spread->on_timer(now_, out);
            CHECK(h.spread->next_timer() > now_);
            perform(i, out);
        }
        // A probe a second; it and its answer carry the number in force.
        if (random_.below(100) == 0) {
            auto const to =
                random_.below(static_cast<std::uint32_t>(hosts_.size()));
            if (to != i && running(to) && reaches(i, to) && reaches(to, i)) {
                tell_number(i, to);
                tell_number(to, i);
            }
        }
    }
    void tell_number(std::size_t from, std::size_t to)
    {
        call(to, [this, id = hosts_[from].info.id,
                  n = hosts_[from].spread->store().number()](
                     config_spread& s, spread_actions& o) {
            s.on_peer_number(now_, id, n, o);
        });
    }

    bool reaches(std::size_t a, std::size_t b)
    {
        // A data centre that is cut off is cut off from the others too.
        auto const& x = hosts_[a].info.data_centre;
        auto const& y = hosts_[b].info.data_centre;
        auto const cut = x != y && (cut_off.contains(x) || cut_off.contains(y));
        return !cut && random_.unit() >= loss;
    }
    bool reaches_platform(std::size_t i)
    {
        return platform_up && !cut_off.contains(hosts_[i].info.data_centre);
    }

    using input = std::function<void(config_spread&, spread_actions&)>;

    // Gives an input to a host after a random delay, or when its pause ends.
    void call(std::size_t i, input const& f)
    {
        auto const at = now_ + from_ms(1 + random_.below(50));
        events_.emplace(at, [this, i, start = hosts_[i].start, f] {
            auto& h = hosts_[i];
            if (!h.up || h.start != start) {
                return;
            }
            if (h.paused_until > now_) {
                events_.emplace(h.paused_until, [this, i, start, f] {
                    if (hosts_[i].start == start) {
                        give(i, f);
                    }
                });
                return;
            }
            give(i, f);
        });
    }
    void give(std::size_t i, input const& f)
    {
        spread_actions out;
        f(*hosts_[i].spread, out);
        perform(i, out);
    }

    void perform(std::size_t i, spread_actions const& out)
    {
        for (auto const& it : out) {
            std::visit([&](auto const& a) { act(i, a); }, it);
        }
        auto& h = hosts_[i];
        auto const number = h.spread->store().number();
        h.went_back = h.went_back || number < h.number;
        h.number = number;
    }

    void act(std::size_t i, read_config const& a)
    {
        if (!reaches_platform(i)) {
            fail(i);
            return;
        }
        config_read read{.revision = revision, .head = head};
        if (a.have < head.base) {
            read.state = state;
        }
        call(i, [this, read](config_spread& s, spread_actions& o) {
            s.on_read(now_, read, o);
        });
    }
    void act(std::size_t i, watch_config const& a)
    {
        watch(i, hosts_[i].start, a.after_revision, now_ + a.timeout);
    }
    void watch(std::size_t i, std::uint64_t start, std::uint64_t after,
               time_point until)
    {
        if (hosts_[i].start != start) {
            return;
        }
        if (!reaches_platform(i)) {
            fail(i);
            return;
        }
        if (revision > after || now_ >= until) {
            call(i, [this, changed = revision > after,
                     r = revision](config_spread& s, spread_actions& o) {
                s.on_watch(now_, changed, r, o);
            });
            return;
        }
        events_.emplace(now_ + from_ms(20), [this, i, start, after, until] {
            watch(i, start, after, until);
        });
    }
    void fail(std::size_t i)
    {
        call(i, [this](config_spread& s, spread_actions& o) {
            s.on_platform_failed(now_, o);
        });
    }
    void act(std::size_t i, pull_config const& a)
    {
        auto const from = index_of(a.from);
        // A paused peer does not answer; the puller has to give up itself.
        if (hosts_[from].paused_until > now_) {
            return;
        }
        auto answer = hosts_[from].up && reaches(i, from)
                          ? hosts_[from].spread->answer(a.have)
                          : std::nullopt;
        call(i,
             [this, id = a.from, answer](config_spread& s, spread_actions& o) {
                 if (answer) {
                     s.on_push(now_, id, *answer, o);
                 }
                 else {
                     s.on_pull_failed(now_, id, o);
                 }
             });
    }
    void act(std::size_t i, announce_config const& a)
    {
        auto const to = index_of(a.to);
        if (reaches(i, to)) {
            call(to, [this, id = hosts_[i].info.id,
                      n = a.number](config_spread& s, spread_actions& o) {
                s.on_announced(now_, id, n, o);
            });
        }
    }
    void act(std::size_t, config_adopted const&) {}
    void act(std::size_t, config_ready const&) {}

    std::size_t index_of(host_id const& id) const
    {
        return std::stoul(id.value.substr(1));
    }
    void members_changed()
    {
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            std::vector<member_info> members;
            for (std::size_t j = 0; j < hosts_.size(); ++j) {
                if (j != i) {
                    members.push_back(hosts_[j].info);
                    members.back().state =
                        hosts_[j].up ? member_state::alive : member_state::dead;
                }
            }
            call(i, [this, members](config_spread& s, spread_actions& o) {
                s.on_members(now_, members, o);
            });
        }
    }

    rng random_;
    time_point now_{from_ms(1000)};
    std::vector<host> hosts_;
    std::multimap<time_point, std::function<void()>> events_;
};

} // namespace snipemill::test
