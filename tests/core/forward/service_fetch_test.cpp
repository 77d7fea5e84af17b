#include "forward_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::test;

TEST_GROUP(single_request)
{
    forward_fixture f;
};

// Guards against an upstream's answer that is changed before it reaches the
// caller.
TEST(single_request, relays_the_upstreams_answer)
{
    run_driver run(f, f.single_route(idempotency::idempotent));
    f.exchanges.end(0, good_answer("body"));
    auto const& answer = std::get<proxied_answer>(*run.answer).answer;
    STRCMP_EQUAL("body", answer.body.c_str());
    STRCMP_EQUAL("p", answer.stamp.c_str());
}

// Guards against a retry of an at-most-once request after some bytes may have
// reached an upstream, and against a false "not run".
TEST(single_request, at_most_once_is_not_sent_again_when_lost)
{
    run_driver run(f, f.single_route(idempotency::at_most_once));
    f.exchanges.end(0, exchange_lost{});
    UNSIGNED_LONGS_EQUAL(1, f.exchanges.all.size());
    UNSIGNED_LONGS_EQUAL(502, run.status());
}

// Guards against failing a request that can be retried since it certainly did
// not run.
TEST(single_request, at_most_once_is_sent_again_when_it_did_not_run)
{
    run_driver run(f, f.single_route(idempotency::at_most_once));
    f.exchanges.end(0, shed_answer());
    UNSIGNED_LONGS_EQUAL(2, f.exchanges.all.size());
    CHECK(f.exchanges.instance(0) != f.exchanges.instance(1));
    f.exchanges.end(1, exchange_not_sent{});
    run.pass(from_ms(20));
    f.exchanges.end(2, good_answer());
    CHECK(std::holds_alternative<proxied_answer>(*run.answer));
}

// Guards against a hedge of a request that may run only once.
TEST(single_request, at_most_once_is_not_hedged)
{
    run_driver run(f, f.single_route(idempotency::at_most_once));
    run.pass(from_ms(500));
    UNSIGNED_LONGS_EQUAL(1, f.exchanges.all.size());
}

// Guards against aborting work that its caller cannot safely send again.
TEST(single_request, at_most_once_runs_on_when_the_caller_leaves)
{
    run_driver run(f, f.single_route(idempotency::at_most_once));
    run.run->cancel();
    CHECK(!f.exchanges.all[0].released ||
          *f.exchanges.all[0].released == f.exchanges.all[0].deadline);
}

// Guards against upstreams that go on working for a caller that has
// disconnected.
TEST(single_request, an_idempotent_request_is_stopped_when_the_caller_leaves)
{
    run_driver run(f, f.single_route(idempotency::idempotent));
    run.run->cancel();
    CHECK(f.exchanges.all[0].released.has_value());
    CHECK(*f.exchanges.all[0].released - f.now < from_ms(500));
}

// Guards against passing on a 503 from an upstream that did not state that the
// request did not run: callers would take the status as "not run".
TEST(single_request, a_503_that_may_have_run_is_a_502)
{
    run_driver run(f, f.single_route(idempotency::at_most_once));
    f.exchanges.end(0, upstream_answer{.status = 503});
    UNSIGNED_LONGS_EQUAL(502, run.status());
}

// Guards against passing on a success without a stamp, which may come from
// another instance.
TEST(single_request, a_success_without_proof_is_not_passed_on)
{
    run_driver run(f, f.single_route(idempotency::at_most_once));
    f.exchanges.end(0, upstream_answer{.status = 200, .body = "x"});
    UNSIGNED_LONGS_EQUAL(502, run.status());
}

// Guards against sending requests again and again to an address that now
// belongs to another instance.
TEST(single_request, an_address_with_another_instance_is_left)
{
    run_driver run(f, f.single_route(idempotency::at_most_once));
    f.exchanges.end(0, upstream_answer{.status = 421, .wrong_instance = true});
    UNSIGNED_LONGS_EQUAL(2, f.exchanges.all.size());
    CHECK(f.exchanges.all[0].to->address_reused);
    f.exchanges.end(1, good_answer());
    CHECK(run.answer.has_value());
}

// No upstream is reachable. Guards against waiting when no upstream can
// answer, and against an error without a Retry-After time.
TEST(single_request, is_refused_at_once_when_no_upstream_can_be_reached)
{
    f.upstream("a0")->reach = reachability::unreachable;
    f.upstream("b0")->reach = reachability::unreachable;
    run_driver run(f, f.single_route(idempotency::idempotent));
    UNSIGNED_LONGS_EQUAL(503, run.status());
    auto const& refused = std::get<error_answer>(*run.answer);
    CHECK(refused.reason.run == run_state::not_run);
    CHECK(refused.retry_after > duration::zero());
    UNSIGNED_LONGS_EQUAL(0, f.exchanges.all.size());
}

// Guards against sending one request to more upstreams than the route allows.
TEST(single_request, keeps_to_the_attempts_of_the_route)
{
    auto route = f.single_route(idempotency::idempotent);
    f.records.push_back({.instance = "c0",
                         .service = "s0",
                         .ip = "192.0.2.1",
                         .port = 9,
                         .data_centre = "c"});
    f.update();
    run_driver run(f, route);
    f.exchanges.end(0, exchange_lost{});
    f.exchanges.end(1, exchange_lost{});
    UNSIGNED_LONGS_EQUAL(2, f.exchanges.all.size());
    UNSIGNED_LONGS_EQUAL(502, run.status());
}

// Guards against a caller that waits longer than the timeout of the route.
TEST(single_request, is_answered_at_its_end)
{
    run_driver run(f, f.single_route(idempotency::at_most_once));
    run.pass(from_ms(799));
    CHECK_FALSE(run.answer.has_value());
    run.pass(from_ms(1));
    UNSIGNED_LONGS_EQUAL(504, run.status());
}

// Guards against retries beyond the retry budget when every upstream fails.
TEST(single_request, retries_end_with_the_budget)
{
    f.shared.budget_settings = {.ratio = 0, .floor = 1};
    run_driver first(f, f.single_route(idempotency::idempotent));
    f.exchanges.end(0, exchange_lost{});
    UNSIGNED_LONGS_EQUAL(2, f.exchanges.all.size());
    run_driver second(f, f.single_route(idempotency::idempotent));
    f.exchanges.end(2, exchange_lost{});
    UNSIGNED_LONGS_EQUAL(3, f.exchanges.all.size());
    UNSIGNED_LONGS_EQUAL(502, second.status());
}

// Guards against an in-flight count that is not reduced by an answer that
// arrives after the request has been answered by a hedge.
TEST(single_request, a_late_answer_frees_its_upstream)
{
    run_driver run(f, f.single_route(idempotency::idempotent));
    run.pass(from_ms(60));
    UNSIGNED_LONGS_EQUAL(2, f.exchanges.all.size());
    f.exchanges.end(1, good_answer());
    CHECK(run.answer.has_value());
    UNSIGNED_LONGS_EQUAL(1, f.exchanges.all[0].to->in_flight());
    f.exchanges.end(0, good_answer());
    UNSIGNED_LONGS_EQUAL(0, f.exchanges.all[0].to->in_flight());
}

// An upstream is silent for a while, so that its entry lapses. Guards against
// giving up the request that it still runs, and against running it again
// elsewhere.
TEST(single_request, a_running_request_outlives_the_entry_of_its_upstream)
{
    for (auto const kind :
         {idempotency::at_most_once, idempotency::idempotent}) {
        f.update();
        run_driver run(f, f.single_route(kind));
        auto const n = f.exchanges.all.size();
        f.fleet.update({}, {}, f.now);
        run.pass(from_ms(600));
        UNSIGNED_LONGS_EQUAL(n, f.exchanges.all.size());
        CHECK_FALSE(f.exchanges.all[n - 1].released.has_value());
        f.exchanges.end(n - 1, good_answer());
        UNSIGNED_LONGS_EQUAL(200, run.status());
    }
}

// Upstreams that report their speed.
TEST_GROUP(fetch_with_speeds)
{
    forward_fixture f;

    // Answers one request on each replica, which makes their work known.
    void teach(duration latency, int n)
    {
        for (int i = 0; i < n; ++i) {
            for (auto const* const excluded : {"a0", "b0"}) {
                f.upstream(excluded)->address_reused = true;
                run_driver run(f, f.single_route(idempotency::idempotent));
                f.now += latency;
                answer(f.exchanges.all.size() - 1, 0, 1);
                f.upstream(excluded)->address_reused = false;
                f.now += from_ms(100);
            }
        }
        f.exchanges.all.clear();
    }
    void answer(std::size_t n, std::uint32_t waiting, double speed)
    {
        auto it = good_answer();
        it.signals.load = {
            .running = 0, .waiting = waiting, .slots = 2, .speed = speed};
        f.exchanges.end(n, std::move(it));
    }
};

// Guards against a hedge that takes as long as the request has left, which only
// adds work.
TEST(fetch_with_speeds, no_hedge_goes_to_an_upstream_that_would_end_later)
{
    teach(from_ms(20), 20);
    f.fleet.on_answer(*f.upstream("b0"),
                      {.load = reported_load{.running = 2,
                                             .waiting = 40,
                                             .slots = 2,
                                             .speed = 2.5}},
                      f.now, f.now);
    run_driver run(f, f.single_route(idempotency::idempotent));
    STRCMP_EQUAL("a0", f.exchanges.instance(0).c_str());
    run.pass(from_ms(90));
    UNSIGNED_LONGS_EQUAL(1, f.exchanges.all.size());
}

// Guards against no hedge at all when the upstream pauses and another one is
// free, and against one before the usual time has passed.
TEST(fetch_with_speeds, a_hedge_starts_at_the_predicted_tail)
{
    teach(from_ms(20), 20);
    run_driver run(f, f.single_route(idempotency::idempotent));
    STRCMP_EQUAL("a0", f.exchanges.instance(0).c_str());
    run.pass(from_ms(20));
    UNSIGNED_LONGS_EQUAL(1, f.exchanges.all.size());
    run.pass(from_ms(40));
    UNSIGNED_LONGS_EQUAL(2, f.exchanges.all.size());
    STRCMP_EQUAL("b0", f.exchanges.instance(1).c_str());
}

// Guards against a slow answer of which the log line does not tell the upstream
// and what was expected of it.
TEST(fetch_with_speeds, a_late_answer_is_in_the_summary)
{
    teach(from_ms(20), 20);
    run_driver usual(f, f.single_route(idempotency::at_most_once));
    f.now += from_ms(20);
    answer(0, 0, 1);
    STRCMP_EQUAL("", usual.run->summary().attempts.c_str());
    run_driver late(f, f.single_route(idempotency::at_most_once));
    f.now += from_ms(90);
    answer(1, 0, 1);
    STRCMP_CONTAINS("a0=answered@90~2", late.run->summary().attempts.c_str());
}

// Guards against suspecting an upstream because its request takes long: 30 ms
// are no sign of a fault where the work is 200 ms.
TEST(fetch_with_speeds, a_long_request_makes_no_suspect)
{
    teach(from_ms(200), 20);
    run_driver first(f, f.single_route(idempotency::idempotent));
    f.now += from_ms(60);
    run_driver second(f, f.single_route(idempotency::idempotent));
    STRCMP_EQUAL("a0", f.exchanges.instance(1).c_str());
}
