#include "core/config/data_centre_sim.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::test;

namespace {

std::size_t readers(spread_sim& sim)
{
    std::size_t n = 0;
    for (auto const& it : sim.hosts()) {
        n += it.up && it.spread->reader() ? 1 : 0;
    }
    return n;
}

std::size_t a_reader(spread_sim& sim, std::size_t first, std::size_t last)
{
    while (first < last && !sim.hosts()[first].spread->reader()) {
        ++first;
    }
    return first;
}

} // namespace

TEST_GROUP(config_spread){};

// Guards against a ticket that takes longer than the 3 s allowed, and against
// watches that grow with the number of hosts.
TEST(config_spread, ticket_reaches_all_hosts_within_three_seconds)
{
    spread_sim sim(1, 2, 20);
    sim.accept_ticket();
    sim.run_for(from_ms(10'000));
    CHECK(sim.all_newest());
    LONGS_EQUAL(4, readers(sim));
    for (int i = 0; i < 10; ++i) {
        sim.accept_ticket();
        sim.run_for(from_ms(3000));
        CHECK(sim.all_newest());
    }
    LONGS_EQUAL(4, readers(sim));
}

// Guards against a data centre without readers while both are paused and not
// yet declared dead.
TEST(config_spread, standby_takes_over_and_gives_way_again)
{
    spread_sim sim(2, 1, 7);
    sim.accept_ticket();
    sim.run_for(from_ms(5000));
    auto const first = a_reader(sim, 0, 7);
    auto const second = a_reader(sim, first + 1, 7);
    sim.pause(first, from_ms(30'000));
    sim.pause(second, from_ms(30'000));
    sim.run_for(from_ms(8000));
    auto const n = readers(sim);
    CHECK(n >= 3 && n <= 5);
    sim.accept_ticket();
    sim.run_for(from_ms(3000));
    for (std::size_t i = 0; i < 7; ++i) {
        CHECK(!sim.running(i) || sim.hosts()[i].number == 2);
    }
    sim.run_for(from_ms(30'000));
    LONGS_EQUAL(2, readers(sim));
    CHECK(sim.all_newest());
}

// Guards against a host that serves although too few hosts have answered.
TEST(config_spread, start_without_the_platform_needs_a_majority)
{
    spread_sim sim(3, 1, 5);
    sim.accept_ticket();
    sim.run_for(from_ms(5000));
    sim.platform_up = false;
    sim.kill(1);
    sim.kill(2);
    sim.kill(3);
    sim.run_for(from_ms(5000));
    sim.start(0);
    // Of five listed hosts, only this one and one more are up.
    sim.run_for(from_ms(20'000));
    LONGS_EQUAL(1, sim.hosts()[0].number);
    CHECK(!sim.hosts()[0].spread->ready());
    // Another starting host knows no more; its answer must not count.
    sim.start(1);
    sim.run_for(from_ms(20'000));
    CHECK(!sim.hosts()[0].spread->ready());
    CHECK(!sim.hosts()[1].spread->ready());
    sim.platform_up = true;
    sim.run_for(from_ms(15'000));
    CHECK(sim.hosts()[0].spread->ready());
}

// Guards against a replaced host that cannot start during an outage.
TEST(config_spread, start_without_the_platform_takes_the_highest_number)
{
    spread_sim sim(4, 2, 4);
    sim.accept_ticket();
    sim.accept_ticket();
    sim.run_for(from_ms(5000));
    sim.platform_up = false;
    sim.start(2);
    sim.run_for(from_ms(5000));
    CHECK(sim.hosts()[2].spread->ready());
    LONGS_EQUAL(2, sim.hosts()[2].number);
}

// Guards against a data centre that goes back to, or stays with, an older
// configuration when several faults come together.
TEST(config_spread, numbers_never_decrease_and_reach_the_newest)
{
    for (std::uint64_t seed = 0; seed < 25; ++seed) {
        spread_sim sim(seed, 3, 4);
        sim.accept_ticket();
        sim.run_for(from_ms(5000));
        CHECK(sim.all_newest());
        sim.loss = 0.2;
        auto const any = [&] { return sim.random().below(12); };
        for (int round = 0; round < 12; ++round) {
            auto const in_force = sim.head.number;
            sim.platform_up = sim.random().below(3) != 0;
            sim.cut_off.clear();
            if (sim.random().below(2) == 0) {
                sim.cut_off.insert("dc" + std::to_string(any() / 4));
            }
            sim.pause(any(), from_ms(sim.random().below(12'000)));
            auto const replaced = any();
            // The ticket is in force at all hosts of the data centre.
            auto confirmed = in_force;
            for (std::size_t i = replaced / 4 * 4; i < replaced / 4 * 4 + 4;
                 ++i) {
                confirmed = std::min(confirmed, sim.hosts()[i].number);
            }
            sim.start(replaced);
            if (sim.platform_up) {
                sim.accept_ticket();
            }
            sim.run_for(from_ms(sim.random().below(10'000)));
            auto const& h = sim.hosts()[replaced];
            CHECK(!h.spread->ready() || h.number >= confirmed);
        }
        sim.loss = 0;
        sim.platform_up = true;
        sim.cut_off.clear();
        // The longest pause and the longest back-off.
        sim.run_for(from_ms(12'000 + 10'000 + 3000));
        CHECK(sim.all_newest());
        for (auto const& it : sim.hosts()) {
            CHECK(!it.went_back);
        }
    }
}
