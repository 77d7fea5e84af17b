#include "core/quarantine/trial_schedule.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

TEST_GROUP(trial_schedule)
{
    trial_schedule it{{.first_delay = from_ms(3000)}};
    time_point now{from_ms(100'000)};
};

// Guards against trials that go on ending upstreams.
TEST(trial_schedule, waits_longer_each_time_and_ends)
{
    CHECK(it.next(0, now, true) == now + from_ms(3000));
    CHECK(it.next(1, now, true) == now + from_ms(6000));
    CHECK(it.next(2, now, true) == now + from_ms(12'000));
    CHECK_FALSE(it.next(3, now, true).has_value());
}

// Guards against a trial that ends the last upstream of its service, and
// against a service of one upstream whose request is never tried.
TEST(trial_schedule, waits_for_a_second_upstream)
{
    CHECK(it.next(0, now, false) == now + from_ms(6000));
    CHECK_FALSE(it.next(3, now, false).has_value());
}
