#pragma once

// Included before CppUTest's header, whose macro for new breaks it.
#include "core/membership/fleet.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <ostream>
#include <vector>

namespace snipemill::test {

enum class fault_kind : std::uint8_t
{
    loss,      // of datagrams, everywhere
    pause,     // of a host
    death,     // of a host, until it is restarted
    restart,   // of a host, running or dead
    partition, // of the host's data centre from all others
};

inline constexpr name_table<fault_kind, 5> fault_kind_names{{
    {fault_kind::loss, "loss"},
    {fault_kind::pause, "pause"},
    {fault_kind::death, "death"},
    {fault_kind::restart, "restart"},
    {fault_kind::partition, "partition"},
}};

struct fault
{
    fault_kind kind = fault_kind::loss;
    std::uint32_t host = 0;
    duration at{};
    duration length{}; // of losses, pauses and partitions

    duration end() const { return at + length; }
    bool overlaps(fault const& other) const
    {
        return at < other.end() && other.at < end();
    }
};

inline std::ostream& operator<<(std::ostream& out, fault const& it)
{
    return out << name_of(fault_kind_names, it.kind) << " host " << it.host
               << " at " << it.at / from_ms(1) << " ms for "
               << it.length / from_ms(1) << " ms";
}

// What happens to a fleet, and the seed of its hosts and its network.
struct fault_plan
{
    std::uint64_t seed = 0;
    std::vector<fault> faults;

    duration end() const
    {
        duration last{};
        for (auto const& it : faults) {
            last = std::max(last, it.end());
        }
        return last;
    }
};

inline std::ostream& operator<<(std::ostream& out, fault_plan const& it)
{
    out << "seed " << it.seed;
    for (auto const& f : it.faults) {
        out << "\n  " << f;
    }
    return out;
}

// Faults of each kind twice, and some more. Both of a kind begin within
// max_gap of each other and last longer, so that they overlap and so do faults
// of different kinds.
inline rc::Gen<fault_plan> fault_plans(std::uint32_t hosts)
{
    return rc::gen::exec([hosts] {
        static constexpr int max_gap = 4000;
        static constexpr int max_length = 20'000;
        fault_plan plan{.seed = *rc::gen::inRange<std::uint64_t>(0, 1U << 20)};
        auto const add = [&](fault_kind kind, int from) {
            plan.faults.push_back(
                {.kind = kind,
                 .host = *rc::gen::inRange<std::uint32_t>(0, hosts),
                 .at = from_ms(from + *rc::gen::inRange(0, max_gap)),
                 .length = from_ms(*rc::gen::inRange(max_gap, max_length))});
        };
        auto const rounds = *rc::gen::inRange(1, 4);
        for (int round = 0; round < rounds; ++round) {
            auto const from = *rc::gen::inRange(0, 10'000) + round * 10'000;
            for (auto const kind :
                 {fault_kind::loss, fault_kind::pause, fault_kind::death,
                  fault_kind::restart, fault_kind::partition}) {
                add(kind, from);
                add(kind, from);
            }
        }
        std::sort(plan.faults.begin(), plan.faults.end(),
                  [](fault const& a, fault const& b) { return a.at < b.at; });
        return plan;
    });
}

// Whether two faults of this kind are in the plan and overlap.
inline bool occurs_twice(fault_plan const& plan, fault_kind kind)
{
    for (std::size_t i = 0; i < plan.faults.size(); ++i) {
        for (std::size_t k = i + 1; k < plan.faults.size(); ++k) {
            if (plan.faults[i].kind == kind && plan.faults[k].kind == kind &&
                plan.faults[i].overlaps(plan.faults[k])) {
                return true;
            }
        }
    }
    return false;
}

// Applies a plan to a fleet that runs in small steps.
class fault_driver
{
public:
    // One datagram in five is lost during a loss, more when two overlap.
    static constexpr double loss = 0.2;

    fault_driver(fault_plan const& plan, fleet& f)
        : plan_(plan), fleet_(f), begin_(f.now())
    {}

    bool done() const { return fleet_.now() - begin_ > plan_.end(); }

    // To be called before each step of the fleet.
    void apply()
    {
        auto const at = fleet_.now() - begin_;
        for (; next_ < plan_.faults.size() && plan_.faults[next_].at <= at;
             ++next_) {
            start(plan_.faults[next_]);
        }
        set_network(at);
    }

private:
    void start(fault const& it)
    {
        switch (it.kind) {
        case fault_kind::pause:
            fleet_.pause(it.host, it.length);
            break;
        case fault_kind::death:
            fleet_.kill(it.host);
            break;
        case fault_kind::restart:
            fleet_.pause(it.host, duration{});
            fleet_.restart(it.host);
            break;
        case fault_kind::loss:
        case fault_kind::partition:
            break;
        }
    }

    // Losses and partitions hold as long as any fault that causes them.
    void set_network(duration at)
    {
        fleet_.heal();
        auto delivered = 1.0;
        for (auto const& it : plan_.faults) {
            if (it.at > at || it.end() <= at) {
                continue;
            }
            if (it.kind == fault_kind::loss) {
                delivered *= 1 - loss;
            }
            if (it.kind == fault_kind::partition) {
                cut_off(fleet_.hosts()[it.host].info.data_centre);
            }
        }
        fleet_.faults.loss = 1 - delivered;
    }

    void cut_off(std::string const& data_centre)
    {
        auto side = 0;
        for (std::size_t i = 0; i < fleet_.hosts().size(); ++i) {
            if (fleet_.hosts()[i].info.data_centre == data_centre) {
                side = side == 0 ? static_cast<int>(i) + 1 : side;
                fleet_.set_side(i, side);
            }
        }
    }

    fault_plan const& plan_;
    fleet& fleet_;
    time_point begin_;
    std::size_t next_ = 0;
};

} // namespace snipemill::test
