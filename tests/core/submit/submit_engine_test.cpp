#include "submit_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

namespace {

bool is(failure const& f, errc code, run_state run)
{
    return f.code == code && f.run == run;
}

} // namespace

TEST_GROUP(submit_engine){};

// Guards against a dispatch without a claim, and against an answer that a
// resend would not find.
TEST(submit_engine, claims_forwards_records_and_answers)
{
    submit_bench b;
    b.submit("k");
    CHECK(!b.take<forward_submit>().has_value());
    b.serve_put();
    b.result(submit_answered{200, "first"});
    CHECK(!b.take<answer_submit>().has_value());
    b.serve_put();
    CHECK(is(b.answer(), errc::ok, run_state::ran));
    CHECK(!b.repeated);
    LONGS_EQUAL(0, b.engine.in_flight());

    b.submit("k");
    b.serve_put();
    b.serve_get();
    CHECK(is(b.answer(), errc::ok, run_state::ran));
    CHECK(b.repeated);
    CHECK(b.body == "first");
    LONGS_EQUAL(0, b.engine.in_flight());
}

// Guards against a resend that runs beside the first request.
TEST(submit_engine, refuses_a_key_that_another_attempt_has_claimed)
{
    submit_bench b;
    b.submit("k");
    b.serve_put();
    b.submit("k");
    b.serve_put();
    b.serve_get();
    CHECK(is(b.answer(), errc::in_progress, run_state::unknown));
}

// Guards against an answer for another request under the same key.
TEST(submit_engine, refuses_another_body_under_the_same_key)
{
    submit_bench b;
    b.submit("k", R"({"a":1})");
    b.serve_put();
    b.submit("k", R"({"a":2})");
    b.serve_put();
    b.serve_get();
    CHECK(is(b.answer(), errc::key_reused, run_state::not_run));
    b.submit("k", R"({ "a": 1 })");
    b.serve_put();
    b.serve_get();
    CHECK(is(b.answer(), errc::in_progress, run_state::unknown));
}

// Guards against a request that is lost with the platform's answer.
TEST(submit_engine, resolves_a_lost_answer_by_its_nonce)
{
    submit_bench b;
    b.submit("k");
    b.lose_put();
    b.serve_get();
    CHECK(b.take<forward_submit>().has_value());
    LONGS_EQUAL(1, b.engine.counters().claims_resolved);
}

// Guards against two claims by one request whose first write is delayed until
// after it has been sent again.
TEST(submit_engine, claims_once_when_a_write_arrives_late)
{
    submit_bench b;
    b.submit("k");
    auto const first = *b.take<put_claim>();
    b.engine.on_claim_written(b.now, first.id, claim_write::ambiguous, 0,
                              b.out);
    b.serve_get();
    auto const again = *b.take<put_claim>();
    CHECK(again.value.nonce == first.value.nonce);
    b.store.put(first);
    CHECK(!b.store.put(again).has_value());
    b.engine.on_claim_written(b.now, again.id, claim_write::conflict, 0, b.out);
    b.serve_get();
    CHECK(b.take<forward_submit>().has_value());
    CHECK(!b.take<forward_submit>().has_value());
}

// Guards against a dispatch on a claim that may be another's.
TEST(submit_engine, does_not_run_while_its_claim_stays_ambiguous)
{
    submit_bench b;
    b.submit("k");
    b.lose_put();
    for (int i = 0; i < 20; ++i) {
        if (auto const g = b.take<get_claim>()) {
            b.engine.on_claim_read(b.now, g->id, false, std::nullopt, 0, b.out);
        }
        CHECK(!b.take<forward_submit>().has_value());
        b.wait(from_ms(250));
    }
    CHECK(is(b.answer(), errc::deadline_exceeded, run_state::not_run));
    // The claim is settled once the platform can be reached.
    b.wait(from_ms(1000));
    b.serve_get();
    b.serve_put();
    LONGS_EQUAL(0, b.engine.in_flight());
    b.submit("k");
    b.serve_put();
    b.serve_get();
    b.serve_put();
    CHECK(b.take<forward_submit>().has_value());
}

// Guards against submits that run without a claim while the platform is down.
TEST(submit_engine, does_not_run_without_the_platform)
{
    submit_bench b;
    b.submit("k");
    b.answer_put(claim_write::not_sent);
    CHECK(is(b.answer(), errc::platform_unavailable, run_state::not_run));
    b.submit("k");
    b.answer_put(claim_write::conflict);
    b.fail_get();
    CHECK(is(b.answer(), errc::platform_unavailable, run_state::not_run));
    LONGS_EQUAL(0, b.engine.in_flight());
}

// Guards against a caller that waits because its outcome cannot be recorded.
TEST(submit_engine, answers_when_the_outcome_cannot_be_recorded)
{
    submit_bench b;
    b.submit("k");
    b.serve_put();
    b.result(submit_answered{});
    b.answer_put(claim_write::ambiguous);
    CHECK(is(b.answer(), errc::ok, run_state::ran));
    b.wait(from_ms(500));
    b.serve_put();
    LONGS_EQUAL(0, b.engine.in_flight());
    b.submit("k");
    b.serve_put();
    b.serve_get();
    CHECK(is(b.answer(), errc::ok, run_state::ran));
}

// Guards against a claim that keeps its key blocked although its outcome is
// known: the platform client refuses calls for up to 1.25 s after a short
// outage, and each write in that time fails.
TEST(submit_engine, records_the_outcome_after_a_short_outage)
{
    submit_bench b;
    b.submit("k");
    b.serve_put();
    b.result(submit_answered{200, "first"});
    b.answer_put(claim_write::not_sent);
    CHECK(is(b.answer(), errc::ok, run_state::ran));
    for (int ms = 50; ms <= 10'000; ms += 50) {
        b.wait(from_ms(50));
        if (!b.has<put_claim>()) {
            continue;
        }
        if (ms <= 1250) {
            b.answer_put(claim_write::not_sent);
        }
        else {
            b.serve_put();
        }
    }
    LONGS_EQUAL(0, b.engine.in_flight());
    b.submit("k");
    b.serve_put();
    b.serve_get();
    CHECK(is(b.answer(), errc::ok, run_state::ran));
    CHECK(b.repeated);
    CHECK(b.body == "first");
}

// Guards against writes of an outcome that go on for ever.
TEST(submit_engine, gives_up_an_outcome_that_cannot_be_recorded)
{
    submit_bench b;
    b.submit("k");
    b.serve_put();
    b.result(submit_answered{});
    int writes = 0;
    for (int ms = 0; ms <= 12'000; ms += 50) {
        if (b.has<put_claim>()) {
            b.answer_put(claim_write::not_sent);
            ++writes;
        }
        b.wait(from_ms(50));
    }
    LONGS_EQUAL(5, writes);
    LONGS_EQUAL(0, b.engine.in_flight());
}

// Guards against a second run after a byte may have reached an upstream (R7).
TEST(submit_engine, does_not_retry_after_a_byte_may_have_been_sent)
{
    submit_bench b;
    b.submit("k");
    b.serve_put();
    auto const f = *b.take<forward_submit>();
    b.engine.on_forward_failed(b.now, f.request.id, true, b.out);
    CHECK(!b.take<forward_submit>().has_value());
    b.serve_put();
    CHECK(is(b.answer(), errc::peer_unreachable, run_state::unknown));
    b.submit("k");
    b.serve_put();
    b.serve_get();
    CHECK(is(b.answer(), errc::upstream_reset, run_state::unknown));
    CHECK(!b.take<forward_submit>().has_value());
}

// Guards against giving up although another replica could run the request,
// and against trying one replica twice.
TEST(submit_engine, tries_other_replicas_when_it_certainly_did_not_run)
{
    submit_bench b;
    b.submit("k");
    b.serve_put();
    auto const first = *b.take<forward_submit>();
    CHECK(first.request.target.value != 3);
    b.engine.on_forward_failed(b.now, first.request.id, false, b.out);
    auto const second = *b.take<forward_submit>();
    CHECK(second.request.target.value != 3);
    CHECK(second.request.target != first.request.target);
    CHECK(second.request.id != first.request.id);
    // A late report on the first attempt changes nothing.
    b.engine.on_result(b.now, {first.request.id, submit_answered{}}, b.out);
    b.engine.on_result(
        b.now, {second.request.id, submit_not_run{errc::upstream_shed}}, b.out);
    auto const third = *b.take<forward_submit>();
    CHECK(third.request.target.value == 3);
    CHECK(third.to == host_id("c"));
    b.engine.on_result(
        b.now, {third.request.id, submit_not_run{errc::upstream_shed}}, b.out);
    b.serve_put();
    CHECK(is(b.answer(), errc::upstream_shed, run_state::not_run));
    // What did not run may be sent again by taking the claim over.
    b.submit("k");
    b.serve_put();
    b.serve_get();
    b.serve_put();
    CHECK(b.take<forward_submit>().has_value());
}

// Guards against a quarantined request that is offered to each replica.
TEST(submit_engine, does_not_try_a_quarantined_request_elsewhere)
{
    submit_bench b;
    b.submit("k");
    b.serve_put();
    b.result(submit_not_run{errc::quarantined});
    b.serve_put();
    CHECK(is(b.answer(), errc::quarantined, run_state::not_run));
}

// Guards against "not run" for a request that an owner has, and against a
// late outcome that is lost.
TEST(submit_engine, deadline_after_dispatch_is_unknown_until_the_result)
{
    submit_bench b;
    b.submit("k");
    b.serve_put();
    auto const f = *b.take<forward_submit>();
    b.wait(from_ms(5000));
    CHECK(is(b.answer(), errc::deadline_exceeded, run_state::unknown));
    b.engine.on_result(b.now, {f.request.id, submit_answered{200, "late"}},
                       b.out);
    b.serve_put();
    b.submit("k");
    b.serve_put();
    b.serve_get();
    CHECK(is(b.answer(), errc::ok, run_state::ran));
    CHECK(b.body == "late");
    LONGS_EQUAL(0, b.engine.in_flight());
}

// Guards against a dispatch after the claim has used up the time.
TEST(submit_engine, deadline_before_dispatch_does_not_run)
{
    submit_bench b;
    b.submit("k");
    auto const p = *b.take<put_claim>();
    b.wait(from_ms(5000));
    CHECK(is(b.answer(), errc::deadline_exceeded, run_state::not_run));
    b.engine.on_claim_written(b.now, p.id, claim_write::written,
                              *b.store.put(p), b.out);
    CHECK(!b.take<forward_submit>().has_value());
    b.serve_put();
    CHECK(b.store.get(p.key)->value.state == claim_state::not_run);
    LONGS_EQUAL(0, b.engine.in_flight());
}

// Guards against new work for what has been taken out of service.
TEST(submit_engine, sends_nothing_to_unusable_upstreams)
{
    submit_bench b;
    b.engine.on_view(submit_view("a", upstream_state::leaving));
    for (int i = 0; i < 10; ++i) {
        b.submit("k" + std::to_string(i));
        b.serve_put();
        CHECK(b.take<forward_submit>()->request.target == upstream_id(2));
    }
    b.engine.on_view(submit_view("a", {}, data_centre_state::out));
    b.submit("x");
    CHECK(is(b.answer(), errc::data_centre_out, run_state::not_run));
}

// Guards against bad requests that reach the platform.
TEST(submit_engine, refuses_bad_requests_before_the_claim)
{
    submit_bench b({.max_submits = 1});
    b.submit("");
    CHECK(is(b.answer(), errc::key_required, run_state::not_run));
    b.engine.on_submit(b.now, 1, 1, {.group = "none", .key = "k"}, b.out);
    CHECK(is(b.answer(), errc::unknown_group, run_state::not_run));
    b.engine.on_submit(b.now, 1, 1,
                       {.group = "stores-desk", .service = "none", .key = "k"},
                       b.out);
    CHECK(is(b.answer(), errc::not_found, run_state::not_run));
    CHECK(!b.take<put_claim>().has_value());
    b.submit("k");
    b.submit("l");
    CHECK(is(b.answer(), errc::overloaded, run_state::not_run));
    submit_engine empty({}, 0, 1, 1);
    empty.on_submit(b.now, 1, 1, submit_with("k"), b.out);
    CHECK(is(b.answer(), errc::no_configuration, run_state::not_run));
}
