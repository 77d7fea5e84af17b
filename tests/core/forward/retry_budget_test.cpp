#include "core/forward/retry_budget.hpp"

#include <CppUTest/TestHarness.h>

#include <deque>

using namespace snipemill;

TEST_GROUP(retry_budget)
{
    time_point now{from_ms(50'000)};
    retry_budget budget{{.ratio = 0.2, .floor = 2}};

    int take_all(retry_budget::attempt_kind kind)
    {
        int n = 0;
        while (budget.take(kind, now)) {
            ++n;
        }
        return n;
    }
};

// Guards against floors that add up to more than the fleet may send: a process
// may restart within one window and then uses its floor twice.
TEST(retry_budget, floors_of_a_fleet_stay_within_half_of_its_slack)
{
    for (double const hosts : {1.0, 8.0, 67.0, 480.0}) {
        CHECK(hosts * retry_floor(174, hosts) <= 87.001);
    }
}

// Guards against unlimited retries of a host that has no requests.
TEST(retry_budget, floor_bounds_repeats_without_requests)
{
    LONGS_EQUAL(2, take_all(retry_budget::attempt_kind::retry));
    now += from_ms(5000);
    LONGS_EQUAL(0, take_all(retry_budget::attempt_kind::retry));
    now += from_ms(7000);
    LONGS_EQUAL(2, take_all(retry_budget::attempt_kind::retry));
}

// Guards against hedges that use up the budget that retries need.
TEST(retry_budget, hedges_leave_room_for_retries)
{
    for (int i = 0; i < 100; ++i) {
        budget.count_request(now);
    }
    LONGS_EQUAL(16, take_all(retry_budget::attempt_kind::hedge));
    LONGS_EQUAL(6, take_all(retry_budget::attempt_kind::retry));
}

// Requests fail after a busy period. Guards against more extra attempts in any
// window than the ratio allows for the requests of this window and the one
// before.
TEST(retry_budget, no_window_exceeds_the_ratio)
{
    std::deque<time_point> extra_attempts;
    std::deque<time_point> requests;
    for (int ms = 0; ms < 60'000; ms += 20) {
        now += from_ms(20);
        if (ms < 15'000 || (ms > 30'000 && ms < 32'000)) {
            budget.count_request(now);
            requests.push_back(now);
        }
        if (budget.take(retry_budget::attempt_kind::retry, now)) {
            extra_attempts.push_back(now);
        }
        while (!extra_attempts.empty() &&
               now - extra_attempts.front() > from_ms(10'000)) {
            extra_attempts.pop_front();
        }
        // Requests of this window and of the one before count.
        while (!requests.empty() && now - requests.front() > from_ms(20'000)) {
            requests.pop_front();
        }
        CHECK(static_cast<double>(extra_attempts.size()) <=
              2 + 0.2 * static_cast<double>(requests.size()));
    }
}
