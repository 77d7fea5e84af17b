#include "owner_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

namespace {

submit_forward submit_of(std::uint32_t target)
{
    return {.id = request_id(target),
            .group = "stores-desk",
            .key = "order-17",
            .body = "{}",
            .target = upstream_id(target),
            .remaining = from_ms(500),
            .print = fingerprint(12)};
}

errc not_run_reason(send_submit_result const& it)
{
    auto const* const r = std::get_if<submit_not_run>(&it.result.outcome);
    return r == nullptr ? errc::ok : r->reason;
}

} // namespace

TEST_GROUP(owner_submit){};

// Guards against submits that wait behind queries or exceed the slots.
TEST(owner_submit, goes_before_waiting_queries_within_the_limit)
{
    owner_bench b;
    b.warm_up({});
    for (peer_handle i = 1; i <= 4; ++i) {
        auto query = batch_of({1});
        query.priority = 1'000'000;
        b.batch(i, query);
    }
    b.engine.on_submit(b.now, 9, submit_of(1), b.out);
    LONGS_EQUAL(0, b.all<dispatch_submit>().size());
    b.fail(b.all<dispatch_query>()[0].handle, sub_outcome::cancelled);
    LONGS_EQUAL(1, b.all<dispatch_submit>().size());
    LONGS_EQUAL(2, b.all<dispatch_query>().size());
}

// Guards against a submit that runs on after its root was told "not run".
TEST(owner_submit, is_never_cancelled_after_dispatch)
{
    owner_bench b;
    b.warm_up({});
    b.engine.on_submit(b.now, 9, submit_of(1), b.out);
    b.wait(from_ms(900));
    LONGS_EQUAL(0, b.all<cancel_dispatch>().size());
    LONGS_EQUAL(0, b.all<send_submit_result>().size());
    auto const h = b.all<dispatch_submit>()[0].handle;
    b.engine.on_submit_result(
        b.now, h, {.id = request_id(1), .outcome = submit_answered{}}, b.out);
    LONGS_EQUAL(1, b.all<send_submit_result>().size());
    LONGS_EQUAL(0, b.engine.in_flight());
}

// Guards against a submit that is sent after its deadline.
TEST(owner_submit, did_not_run_when_it_still_waits_at_the_deadline)
{
    owner_bench b;
    b.warm_up({});
    auto slow = batch_of({1});
    slow.remaining = from_ms(2000);
    b.batch(1, slow);
    b.batch(2, slow);
    b.engine.on_submit(b.now, 9, submit_of(1), b.out);
    b.wait(from_ms(500));
    auto const results = b.all<send_submit_result>();
    LONGS_EQUAL(1, results.size());
    CHECK(not_run_reason(results[0]) == errc::deadline_exceeded);
}

// Guards against a refusal whose reason misleads the root.
TEST(owner_submit, is_refused_with_the_reason)
{
    owner_bench b;
    b.warm_up({});
    b.view({.states = {{1, upstream_state::leaving}}});
    b.engine.on_submit(b.now, 1, submit_of(1), b.out);
    b.engine.on_submit(b.now, 2, submit_of(77), b.out);
    b.engine.set_quarantine({fingerprint(12)});
    b.engine.on_submit(b.now, 3, submit_of(2), b.out);
    auto const results = b.all<send_submit_result>();
    LONGS_EQUAL(3, results.size());
    CHECK(not_run_reason(results[0]) == errc::upstream_draining);
    CHECK(not_run_reason(results[1]) == errc::upstream_unreachable);
    CHECK(not_run_reason(results[2]) == errc::quarantined);
}

// Guards against a crash that a submit caused but nobody learns of.
TEST(owner_submit, reset_makes_the_upstream_cold_and_is_reported)
{
    owner_bench b;
    b.warm_up({});
    b.engine.on_submit(b.now, 1, submit_of(1), b.out);
    b.engine.on_submit_result(b.now, b.all<dispatch_submit>()[0].handle,
                              {.outcome = submit_unknown{errc::upstream_reset}},
                              b.out);
    LONGS_EQUAL(1, b.all<report_crash>().size());
    CHECK(b.gauge(1).condition == upstream_condition::cold);
    CHECK(b.all<send_submit_result>()[0].result.id == request_id(1));
}

// Guards against a submit of a root that is gone being sent, or, once it has
// been sent, being cancelled.
TEST(owner_submit, of_a_peer_that_is_gone_is_dropped_only_while_it_waits)
{
    owner_bench b;
    b.warm_up({});
    b.engine.on_submit(b.now, 1, submit_of(1), b.out);
    b.engine.on_submit(b.now, 2, submit_of(1), b.out);
    b.engine.on_submit(b.now, 3, submit_of(1), b.out);
    b.engine.on_peer_gone(b.now, 3, b.out);
    b.engine.on_peer_gone(b.now, 1, b.out);
    LONGS_EQUAL(0, b.all<cancel_dispatch>().size());
    for (auto const& it : b.all<dispatch_submit>()) {
        b.engine.on_submit_result(b.now, it.handle,
                                  {.outcome = submit_answered{}}, b.out);
    }
    LONGS_EQUAL(2, b.all<dispatch_submit>().size());
    LONGS_EQUAL(1, b.all<send_submit_result>().size());
    LONGS_EQUAL(0, b.engine.in_flight());
}
