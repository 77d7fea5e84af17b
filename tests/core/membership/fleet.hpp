#pragma once

#include "core/membership/member_list.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace snipemill::test {

struct network_faults
{
    double loss = 0;
    double duplication = 0;
    duration max_delay = from_ms(5); // random, so messages overtake
};

// Hosts with member lists on a simulated network and virtual time.
class fleet
{
public:
    struct host
    {
        std::unique_ptr<member_list> list;
        member_info info;
        bool up = true;
        time_point paused_until{};
        time_point next{}; // timer of the list
        std::uint64_t sent = 0;
        std::size_t largest = 0; // updates in one message
        std::map<host_id, time_point> dead_at;
    };

    fleet(std::uint64_t seed, int data_centres, int hosts_each) : random_(seed)
    {
        for (int dc = 0; dc < data_centres; ++dc) {
            for (int i = 0; i < hosts_each; ++i) {
                add(dc, i);
            }
        }
    }

    void run_for(duration d)
    {
        auto const end = now_ + d;
        while (now_ < end) {
            now_ += step;
            deliver();
            for (std::size_t i = 0; i < hosts_.size(); ++i) {
                run_host(i);
            }
        }
    }

    void kill(std::size_t i) { hosts_[i].up = false; }
    void pause(std::size_t i, duration d) { hosts_[i].paused_until = now_ + d; }
    void restart(std::size_t i)
    {
        auto& h = hosts_[i];
        h.info.incarnation = static_cast<std::uint64_t>(
            now_.time_since_epoch() / from_ms(1) + 1);
        h.up = true;
        start(i);
    }
    // Hosts of different sides do not hear each other.
    void set_side(std::size_t i, int side) { side_[i] = side; }
    void heal() { side_.assign(hosts_.size(), 0); }

    // Whether all running hosts see all running hosts in this state and all
    // others as dead or not at all.
    bool agree() const
    {
        for (auto const& a : hosts_) {
            if (a.up && !sees_all(a)) {
                return false;
            }
        }
        return true;
    }
    bool run_until_agreed(duration limit)
    {
        for (auto const end = now_ + limit; now_ < end;) {
            if (agree()) {
                return true;
            }
            run_for(from_ms(200));
        }
        return agree();
    }

    member_state state(std::size_t at, std::size_t of) const
    {
        for (auto const& it : hosts_[at].list->members()) {
            if (it.id == hosts_[of].info.id) {
                return it.state;
            }
        }
        return member_state::dead;
    }

    std::vector<host>& hosts() { return hosts_; }
    std::vector<host> const& hosts() const { return hosts_; }
    time_point now() const { return now_; }
    rng& random() { return random_; }
    network_faults faults;
    member_list_settings settings;

private:
    static constexpr duration step = from_ms(5);

    struct datagram
    {
        std::size_t from = 0;
        std::size_t to = 0;
        probe_message message;
    };

    void add(int dc, int i)
    {
        member_info info{
            .id = host_id("h" + std::to_string(dc) + "-" + std::to_string(i)),
            .data_centre = "dc" + std::to_string(dc),
            .ip = "10.0." + std::to_string(dc) + "." + std::to_string(i),
            .peer_port = 7000,
            .operator_port = 7001,
            .incarnation = 1};
        by_ip_[info.ip] = hosts_.size();
        // Three hosts are seeds of all, as in a small fleet's settings.
        if (seeds_.size() < 3) {
            seeds_.push_back({info.ip, info.peer_port});
        }
        hosts_.push_back({.info = info});
        side_.push_back(0);
        start(hosts_.size() - 1);
    }

    void start(std::size_t i)
    {
        auto& h = hosts_[i];
        h.list =
            std::make_unique<member_list>(settings, h.info, random_.next());
        h.list->set_seeds(seeds_);
        h.next = now_;
    }

    void run_host(std::size_t i)
    {
        auto& h = hosts_[i];
        if (!h.up || h.paused_until > now_ || h.next > now_) {
            return;
        }
        member_actions out;
        h.list->on_timer(now_, out);
        perform(i, out);
    }

    void perform(std::size_t i, member_actions const& out)
    {
        auto& h = hosts_[i];
        h.next = h.list->next_timer();
        for (auto const& it : out) {
            if (auto const* changed = std::get_if<member_changed>(&it)) {
                if (changed->member.state == member_state::dead) {
                    h.dead_at[changed->member.id] = now_;
                }
                else {
                    h.dead_at.erase(changed->member.id);
                }
            }
            if (auto const* probe = std::get_if<send_probe>(&it)) {
                ++h.sent;
                h.largest = std::max(h.largest, probe->message.updates.size());
                send(i, *probe);
            }
        }
    }

    void send(std::size_t from, send_probe const& probe)
    {
        auto const to = by_ip_.find(probe.ip);
        if (to == by_ip_.end() || side_[from] != side_[to->second]) {
            return;
        }
        auto const copies = random_.unit() < faults.duplication ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (random_.unit() >= faults.loss) {
                auto const delay =
                    random_.unit() *
                    static_cast<double>(faults.max_delay.count());
                auto const at =
                    now_ + duration(static_cast<std::int64_t>(delay) + 1);
                in_flight_.emplace(at,
                                   datagram{from, to->second, probe.message});
            }
        }
    }

    void deliver()
    {
        while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
            auto it = std::move(in_flight_.begin()->second);
            in_flight_.erase(in_flight_.begin());
            auto& to = hosts_[it.to];
            if (!to.up || side_[it.from] != side_[it.to]) {
                continue;
            }
            // The socket buffer of a paused host keeps what arrives.
            if (to.paused_until > now_) {
                in_flight_.emplace(to.paused_until, std::move(it));
                continue;
            }
            member_actions out;
            to.list->on_message(now_, it.message, out);
            perform(it.to, out);
        }
    }

    bool sees_all(host const& a) const
    {
        std::map<host_id, member_info> known;
        for (auto const& it : a.list->members()) {
            known[it.id] = it;
        }
        for (auto const& b : hosts_) {
            auto const it = known.find(b.info.id);
            auto const found = it != known.end();
            if (&a == &b) {
                continue;
            }
            if (b.up ? !found || !sees(it->second, b)
                     : found && it->second.state != member_state::dead) {
                return false;
            }
        }
        return true;
    }

    static bool sees(member_info const& known, host const& b)
    {
        return known.state == b.list->self().state &&
               known.incarnation >= b.info.incarnation;
    }

    rng random_;
    time_point now_{from_ms(1000)};
    std::vector<host> hosts_;
    std::vector<int> side_;
    std::map<std::string, std::size_t> by_ip_;
    std::vector<member_seed> seeds_;
    std::multimap<time_point, datagram> in_flight_;
};

} // namespace snipemill::test
