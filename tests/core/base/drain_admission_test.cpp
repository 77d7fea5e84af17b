#include "core/base/drain_admission.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

TEST_GROUP(drain_admission)
{
    time_point const begin{from_ms(50'000)};
    drain_times const times{.accept_until = begin + from_ms(2600),
                            .answer_by = begin + from_ms(5000)};
    drain_admission admission;

    bool admits(idempotency kind, int at_ms, int time_out_ms) const
    {
        auto const now = begin + from_ms(at_ms);
        return admission.admits(kind, now, now + from_ms(time_out_ms));
    }
};

// Guards against refusals by a host that serves.
TEST(drain_admission, admits_everything_before_a_stop)
{
    CHECK(admits(idempotency::at_most_once, 0, 600'000));
    CHECK(admits(idempotency::idempotent, 0, 600'000));
}

// Load pattern: requests on open connections through the whole stop. Guards
// against a request that is started, may run once only, and is cut off.
TEST(drain_admission, a_request_that_may_run_once_ends_within_the_stop)
{
    admission.begin(times);
    for (int at = 0; at <= 5500; at += 100) {
        CHECK_EQUAL(at + 2500 <= 5000,
                    admits(idempotency::at_most_once, at, 2500));
    }
}

// Guards against callers that lose their only retry because a host refuses
// requests while the load balancer still sends them.
TEST(drain_admission, an_idempotent_request_is_refused_late_only)
{
    admission.begin(times);
    for (int at = 0; at <= 5500; at += 100) {
        CHECK_EQUAL(at < 2600 || at + 2500 <= 5000,
                    admits(idempotency::idempotent, at, 2500));
    }
}
