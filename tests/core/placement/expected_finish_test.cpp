#include "core/placement/expected_finish.hpp"
#include "core/placement/hedge_rule.hpp"
#include "core/placement/network_latency.hpp"
#include "core/placement/usual_load.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

TEST_GROUP(expected_finish)
{
    time_point now{from_ms(100'000)};
    expected_finish it;
    request_cost cost{.own = {.mean = 20, .tail = 30}, .mean_there = 20};

    void report(std::uint32_t running, std::uint32_t waiting, double speed = 1,
                std::uint32_t open = 0)
    {
        it.on_report({.running = running,
                      .waiting = waiting,
                      .slots = 2,
                      .speed = speed},
                     open, now);
    }
    finish_prediction predict(std::uint32_t open = 0, duration network = {})
    {
        return it.predict(cost, {.open = open,
                                 .slots = 2,
                                 .usual_per_slot = 0.5,
                                 .network = network,
                                 .now = now});
    }
    // A request that was answered `ms` after a fresh report of an idle machine.
    void answer(double ms, int n)
    {
        for (int i = 0; i < n; ++i) {
            report(0, 0);
            auto const predicted = predict();
            now += from_ms(static_cast<int>(ms));
            report(0, 0);
            it.on_ended(predicted, from_ms(static_cast<int>(ms)), true, now);
        }
    }
};

// Guards against work that queues while another upstream is free, and against
// taking the speed of a machine for constant.
TEST(expected_finish, grows_with_queue_speed_and_network)
{
    report(0, 0);
    auto const idle = predict().mean;
    CHECK(idle > 20 && idle < 25);
    CHECK(predict(0, from_ms(4)).mean > idle + 3.9);
    report(2, 4);
    CHECK(predict().mean > 60);
    report(0, 0, 2.5);
    DOUBLES_EQUAL(2.5 * idle, predict().mean, 0.01);
}

// Guards against counting the requests of this host twice: once in the report
// and once as open.
TEST(expected_finish, counts_own_requests_from_what_this_host_knows)
{
    report(2, 0, 1, 2);
    auto const others = predict(0).mean;
    CHECK(others < 25);
    CHECK(predict(2).mean > others + 5);
}

// Guards against decisions on a measurement of long ago.
TEST(expected_finish, trust_in_a_report_decays_to_the_usual)
{
    report(2, 6, 2.5);
    auto const busy = predict().mean;
    report(0, 0);
    auto const idle = predict().mean;
    report(2, 6, 2.5);
    now += from_ms(20'000);
    auto const old = predict().mean;
    CHECK(old < busy / 2);
    CHECK(old > idle);
}

// Guards against a constant factor that only the latencies show.
TEST(expected_finish, learns_the_constant_speed)
{
    answer(26, 60);
    auto const slow = it.constant(now);
    CHECK(slow > 1.2 && slow < 1.35);
    now += from_ms(600'000);
    CHECK(it.constant(now) < 1.05);
}

// An upstream pauses. Guards against taking the pause for its speed.
TEST(expected_finish, a_pause_hardly_changes_the_constant_speed)
{
    answer(20, 60);
    answer(250, 1);
    CHECK(it.constant(now) < 1.1);
}

// Guards against a correction that outlasts its cause, and against one for
// answers within the predicted tail.
TEST(expected_finish, error_is_for_late_answers_and_fades)
{
    answer(25, 10);
    DOUBLES_EQUAL(1, it.error(now), 1e-9);
    answer(200, 5);
    CHECK(it.error(now) > 1.5);
    now += from_ms(10'000);
    DOUBLES_EQUAL(1, it.error(now), 1e-9);
}

// Guards against speeds that would make work free or endless.
TEST(expected_finish, bounds_the_reported_speed)
{
    report(0, 0, 0.01);
    CHECK(it.speed(now) >= 0.8);
    report(0, 0, 1e6);
    CHECK(it.speed(now) <= 20);
}

// Guards against figures that overflow or make a prediction negative.
TEST(expected_finish, bears_extreme_reports)
{
    report(4'294'967'295U, 4'294'967'295U);
    CHECK(predict().mean > 1e9);
    report(0, 0, 1, 100);
    CHECK(predict().mean > 0);
    now -= from_ms(50); // an answer that was handled late
    CHECK(predict().mean > 0);
}

TEST_GROUP(hedge_rule)
{
    finish_prediction attempt{.mean = 25, .tail = 40, .work = 20};
};

// Guards against hedges of requests that only take their usual time, and
// against none for an upstream that pauses.
TEST(hedge_rule, a_hedge_is_worth_more_the_later_it_is)
{
    CHECK(hedge_delay(attempt) == from_ms(40));
    CHECK(latest_worthwhile_finish(attempt, from_ms(10)) < 20);
    CHECK(latest_worthwhile_finish(attempt, from_ms(40)) > 60);
}

// Guards against hedges of long requests at a small part of their work.
TEST(hedge_rule, a_long_request_is_not_hedged_before_its_tail)
{
    finish_prediction const heavy{.mean = 170, .tail = 260, .work = 160};
    CHECK(latest_worthwhile_finish(heavy, from_ms(40)) < 160);
}

TEST_GROUP(network_latency)
{
    network_latency it;
    time_point now{from_ms(100'000)};
};

// A set-up takes 6 ms of work besides the round trip. Guards against taking
// that work or a busy accept queue for the network.
TEST(network_latency, is_the_difference_of_the_shortest_set_ups)
{
    it.on_connected("a", from_ms(6), now);
    it.on_connected("b", from_ms(30), now);
    it.on_connected("b", from_ms(10), now);
    CHECK(it.extra("a") == from_ms(0));
    CHECK(it.extra("b") == from_ms(4));
    CHECK(it.extra("unknown") == from_ms(0));
    now += from_ms(60'000);
    it.on_connected("b", from_ms(14), now);
    CHECK(it.extra("b") == from_ms(4));
    now += from_ms(60'000);
    it.on_connected("b", from_ms(14), now);
    CHECK(it.extra("b") == from_ms(8));
}

TEST_GROUP(usual_load){};

// Guards against upstreams that look idle because their reports are old while
// all others are busy.
TEST(usual_load, follows_the_reports_and_forgets_them)
{
    time_point now{from_ms(100'000)};
    usual_load it;
    DOUBLES_EQUAL(0.5, it.per_slot(now), 1e-9);
    for (int i = 0; i < 100; ++i) {
        it.add(8, 2, now);
    }
    CHECK(it.per_slot(now) > 3.9);
    CHECK(it.per_slot(now + from_ms(60'000)) < 0.6);
}
