#include "core/membership/fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <bit>
#include <set>
#include <string>

using namespace snipemill;
using snipemill::test::fleet;

namespace {

constexpr int seeds = 15;

// Detection within a few intervals, the suspicion, then gossip that takes a
// number of intervals that grows with the logarithm of the fleet's size.
duration death_bound(fleet& f, duration suspicion)
{
    auto const rounds = 5 + 3 * std::bit_width(f.hosts().size());
    return suspicion + rounds * f.settings.probe_interval;
}

void check_dead_within(fleet& f, std::size_t victim, duration bound)
{
    auto const killed_at = f.now();
    f.kill(victim);
    f.run_for(bound);
    for (auto const& it : f.hosts()) {
        if (it.up) {
            auto const at = it.dead_at.find(f.hosts()[victim].info.id);
            CHECK(at != it.dead_at.end());
            CHECK(at->second - killed_at <= bound);
        }
    }
}

std::uint64_t most_sent(int data_centres, int each)
{
    fleet f(3, data_centres, each);
    CHECK(f.run_until_agreed(from_ms(180'000)));
    for (auto& it : f.hosts()) {
        it.sent = 0;
    }
    f.run_for(from_ms(30'000));
    std::uint64_t most = 0;
    for (auto const& it : f.hosts()) {
        most = std::max(most, it.sent);
        CHECK(it.largest <= f.settings.max_updates);
    }
    return most;
}

} // namespace

TEST_GROUP(member_list){};

// Guards against a started fleet that splits into parts that never meet.
TEST(member_list, fleet_finds_itself_from_seeds)
{
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        fleet f(seed, 3, 5);
        CHECK(f.run_until_agreed(from_ms(30'000)));
    }
}

// Guards against a dead host that keeps its upstreams.
TEST(member_list, dead_host_is_declared_dead_by_all_within_the_bound)
{
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        fleet f(seed, 2, 8);
        CHECK(f.run_until_agreed(from_ms(30'000)));
        f.faults = {.loss = 0.05, .max_delay = from_ms(20)};
        check_dead_within(f, seed % 16,
                          death_bound(f, f.settings.local_suspicion));
    }
}

// Guards against an operator who is not told, or is told wrongly, for how long
// a host has been away.
TEST(member_list, time_without_a_member_counts_from_its_suspicion)
{
    fleet f(1, 1, 4);
    CHECK(f.run_until_agreed(from_ms(30'000)));
    auto const id = f.hosts()[3].info.id;
    auto const& list = *f.hosts()[0].list;
    CHECK(list.unreachable().empty());
    auto const killed_at = f.now();
    f.kill(3);
    f.run_for(death_bound(f, f.settings.local_suspicion));
    auto const since = list.unreachable().at(id);
    // It was suspect before it was declared dead, and is so only once.
    CHECK(since >= killed_at);
    CHECK(f.hosts()[0].dead_at.at(id) - since > from_ms(500));
    f.run_for(from_ms(10'000));
    CHECK(list.unreachable().at(id) == since);
    f.restart(3);
    CHECK(f.run_until_agreed(from_ms(60'000)));
    CHECK(list.unreachable().empty());
}

// Guards against the loss of a data centre flooding the others with probes.
TEST(member_list, loss_of_a_data_centre_causes_no_more_probes)
{
    fleet f(5, 3, 6);
    CHECK(f.run_until_agreed(from_ms(30'000)));
    for (std::size_t i = 0; i < 6; ++i) {
        f.kill(i);
    }
    for (auto& it : f.hosts()) {
        it.sent = 0;
    }
    f.run_for(from_ms(60'000));
    CHECK(f.agree());
    for (auto const& it : f.hosts()) {
        // 1 probe, 2 indirect ones, 1 answer and 2 relayed a second, and
        // seed or dead probes: below 7.
        CHECK(it.sent <= 60 * 7);
    }
}

// Guards against control traffic that grows with the fleet.
TEST(member_list, datagrams_per_host_do_not_grow_with_the_fleet)
{
    auto const small = most_sent(2, 8);
    auto const large = most_sent(2, 64);
    // The busiest of more hosts is probed a little more often by chance.
    CHECK(static_cast<double>(large) <= 1.25 * static_cast<double>(small));
}

// Guards against a host that stays dead to others after a long pause.
TEST(member_list, paused_host_is_alive_again_after_waking)
{
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        fleet f(seed, 2, 5);
        CHECK(f.run_until_agreed(from_ms(30'000)));
        f.pause(2, from_ms(25'000));
        f.run_for(from_ms(24'000));
        CHECK(f.state(7, 2) == member_state::dead);
        CHECK(f.run_until_agreed(from_ms(30'000)));
        LONGS_EQUAL(0, f.hosts()[2].list->counters().declared_dead);
    }
}

// Guards against a planned stop that is taken for a failure.
TEST(member_list, leaving_is_not_dead)
{
    fleet f(4, 2, 4);
    CHECK(f.run_until_agreed(from_ms(30'000)));
    member_actions out;
    f.hosts()[3].list->leave(f.now(), out);
    f.run_for(from_ms(15'000));
    for (std::size_t i = 0; i < f.hosts().size(); ++i) {
        CHECK(i == 3 || f.state(i, 3) == member_state::leaving);
    }
    f.kill(3);
    f.run_for(from_ms(40'000));
    for (std::size_t i = 0; i < f.hosts().size(); ++i) {
        CHECK(i == 3 || f.state(i, 3) == member_state::dead);
    }
}

// Guards against news that reaches only some members, against answers to it
// from all of them, and against updates that it pushes out of probes.
TEST(member_list, announcement_reaches_each_member_and_wants_no_answer)
{
    fleet f(7, 2, 4);
    CHECK(f.run_until_agreed(from_ms(30'000)));
    f.kill(5);
    f.run_for(from_ms(40'000));
    member_actions out;
    f.hosts()[0].list->announce(out);
    std::set<std::string> reached;
    for (auto const& it : out) {
        auto const& sent = std::get<send_probe>(it);
        CHECK(sent.message.updates.empty());
        reached.insert(sent.ip);
        for (auto& host : f.hosts()) {
            if (host.info.ip != sent.ip) {
                continue;
            }
            member_actions answers;
            host.list->on_message(f.now(), sent.message, answers);
            for (auto const& answer : answers) {
                CHECK(!std::holds_alternative<send_probe>(answer));
            }
        }
    }
    LONGS_EQUAL(6, out.size());
    LONGS_EQUAL(6, reached.size());
    CHECK(!reached.contains(f.hosts()[0].info.ip));
    CHECK(!reached.contains(f.hosts()[5].info.ip));
    LONGS_EQUAL(6, f.hosts()[0].list->counters().announced);
}

// Guards against a shorter suspicion for hosts that a slow link separates.
TEST(member_list, suspicion_is_longer_across_data_centres)
{
    fleet f(6, 2, 1);
    CHECK(f.run_until_agreed(from_ms(10'000)));
    f.kill(1);
    f.run_for(from_ms(8'000));
    CHECK(f.state(0, 1) == member_state::suspect);
    f.run_for(from_ms(8'000));
    CHECK(f.state(0, 1) == member_state::dead);
}

// Guards against a restarted host that is kept at its old entry, also when
// its clock was set back.
TEST(member_list, restarted_host_replaces_its_entry)
{
    for (std::uint64_t const incarnation : {0U, 1U, 99U}) {
        member_info const self{.id = host_id("a"),
                               .data_centre = "x",
                               .ip = "10.0.0.1",
                               .peer_port = 1};
        member_info old{.id = host_id("b"),
                        .data_centre = "x",
                        .ip = "10.0.0.2",
                        .peer_port = 1,
                        .incarnation = 5};
        member_list list({}, self, 1);
        member_actions out;
        list.on_message({}, {.from = old}, out);
        auto fresh = old;
        fresh.ip = "10.0.0.3";
        fresh.incarnation = incarnation;
        member_list restarted({}, fresh, 2);
        for (int i = 0; i < 2; ++i) {
            out.clear();
            list.on_message({}, {.from = restarted.self()}, out);
            for (auto const& it : out) {
                if (auto const* probe = std::get_if<send_probe>(&it)) {
                    CHECK(probe->ip == fresh.ip);
                    member_actions ignored;
                    restarted.on_message({}, probe->message, ignored);
                }
            }
        }
        CHECK(list.members().front().ip == fresh.ip);
    }
}

// Guards against memory and incarnations that a faulty peer can exhaust.
TEST(member_list, made_up_members_and_incarnations_are_bounded)
{
    member_info const self{.id = host_id("a"),
                           .data_centre = "x",
                           .ip = "10.0.0.1",
                           .peer_port = 1,
                           .incarnation = 7};
    member_list list({}, self, 1);
    member_actions out;
    for (int i = 0; i < 10'000; ++i) {
        member_info const made{.id = host_id(std::to_string(i)),
                               .data_centre = "x",
                               .ip = "10.1.1.1",
                               .peer_port = 1};
        list.on_message({}, {.from = made}, out);
        out.clear();
    }
    CHECK(list.members().size() <= 4096);
    auto wrong = self;
    wrong.state = member_state::dead;
    wrong.incarnation = ~std::uint64_t{0};
    list.on_message({}, {.from = list.members().front(), .updates = {wrong}},
                    out);
    LONGS_EQUAL(7, list.self().incarnation);
}

// Guards against a combination of faults after which hosts disagree for good.
TEST(member_list, hosts_agree_after_several_faults_together)
{
    for (std::uint64_t seed = 0; seed < 3 * seeds; ++seed) {
        fleet f(seed, 3, 4);
        f.faults = {.loss = 0.2, .duplication = 0.1, .max_delay = from_ms(400)};
        f.run_for(from_ms(10'000));
        for (int round = 0; round < 6; ++round) {
            auto const any = [&] { return f.random().below(12); };
            f.pause(any(), from_ms(f.random().below(15'000)));
            f.kill(any());
            auto const cut = any();
            for (std::size_t i = 0; i < 12; ++i) {
                f.set_side(i, i < cut ? 1 : 0);
            }
            f.run_for(from_ms(f.random().below(20'000)));
            f.restart(any());
        }
        f.heal();
        f.faults = {};
        // The longest pause, the remote suspicion, and several low-rate
        // probes of each host.
        CHECK(f.run_until_agreed(from_ms(120'000)));
    }
}
