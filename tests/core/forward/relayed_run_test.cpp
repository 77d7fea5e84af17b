#include "core/forward/relayed_run.hpp"
#include "forward_fixture.hpp"
#include "relay_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::test;

TEST_GROUP(relayed_run)
{
    forward_fixture f{3};
    relay_pool_fixture relays;
    forward_route route = f.gather_route();
    std::optional<relayed_run> run;
    std::optional<caller_answer> answer;

    void setup() override
    {
        relays.pool.set_relays(three_relays(), f.now);
        relays.now = f.now;
        relays.probe();
    }
    void start()
    {
        std::vector<std::string const*> services;
        for (auto const& it : f.names) {
            services.push_back(&it);
        }
        run.emplace(relayed_run::options{
            .pool = &relays.pool,
            .fingerprint = 5,
            .direct = {.shared = &f.shared,
                       .settings = &f.settings,
                       .state = std::make_shared<manifest const>(),
                       .route = &route,
                       .services = services,
                       .request = std::make_shared<forward_request const>(
                           forward_request{.id = "1"}),
                       .arrival = f.now,
                       .end = f.now + route.timeout,
                       .on_answer = [this](caller_answer it) {
                           CHECK_FALSE(answer.has_value());
                           answer = std::move(it);
                       }}});
        run->start();
    }
    scripted_relays::call& call(std::size_t n)
    {
        return *relays.port.runs[n];
    }
    void advance(duration d)
    {
        auto const until = f.now + d;
        for (auto at = run->next_timer(); at && *at <= until;
             at = run->next_timer()) {
            f.now = std::max(f.now, *at);
            run->on_timer(f.now);
        }
        f.now = until;
    }
    unsigned status() const
    {
        auto const* const refused = std::get_if<error_answer>(&*answer);
        return refused ? refused->status : 200;
    }
};

// Guards against a host that sends to shards in addition to the relay.
TEST(relayed_run, the_relay_answers)
{
    start();
    UNSIGNED_LONGS_EQUAL(5, call(0).query.fingerprint);
    CHECK(call(0).query.left < route.timeout);
    call(0).on_event(relay_accepted{});
    call(0).on_event(
        relay_answer{.answer = merged_answer{.body = "x"},
                     .summary = {.services = 3, .services_answered = 3}});
    UNSIGNED_LONGS_EQUAL(200, status());
    STRCMP_EQUAL("x", std::get<merged_answer>(*answer).body.c_str());
    CHECK(f.exchanges.all.empty());
    UNSIGNED_LONGS_EQUAL(3, run->summary().services_answered);
}

// A relay freezes or loses power. Guards against queries that wait for
// the relay until their objective has passed.
TEST(relayed_run, another_relay_gets_what_one_does_not_accept)
{
    route.attempts = 3;
    start();
    advance(relays.pool.settings().suspect_timeout);
    // The next query does not use the unresponsive relay.
    CHECK(call(0).to != relays.choose());
    CHECK_FALSE(call(0).cancelled);
    advance(relays.pool.settings().accept_timeout);
    CHECK(call(0).cancelled);
    UNSIGNED_LONGS_EQUAL(2, relays.port.runs.size());
    CHECK(call(0).to != call(1).to);
}

// A manifest of hundreds of routes fills this host's link. Guards against
// running a query twice because the acceptance is queued behind the manifest:
// shards of 6 queries ran at 3 upstreams where the route allows 2.
TEST(relayed_run, a_late_agreement_is_waited_for)
{
    start();
    advance(from_ms(90));
    CHECK_FALSE(call(0).cancelled);
    call(0).on_event(relay_accepted{});
    advance(from_ms(200));
    CHECK_FALSE(call(0).cancelled);
    UNSIGNED_LONGS_EQUAL(1, relays.port.runs.size());
}

// Guards against an error while this host can run the query directly.
TEST(relayed_run, runs_directly_when_no_relay_takes_it)
{
    start();
    call(0).on_event(relay_refused{relay_refusal::busy});
    call(1).on_event(relay_lost{.sent = false});
    UNSIGNED_LONGS_EQUAL(2, relays.port.runs.size());
    UNSIGNED_LONGS_EQUAL(3, f.exchanges.all.size());
    for (std::size_t i = 0; i < 3; ++i) {
        f.exchanges.end(i, good_answer("abcd"));
    }
    UNSIGNED_LONGS_EQUAL(200, status());
}

// Guards against refusing a query because no relay is configured.
TEST(relayed_run, runs_directly_without_relays)
{
    relays.pool.set_relays({}, f.now);
    start();
    UNSIGNED_LONGS_EQUAL(3, f.exchanges.all.size());
}

// Guards against answers by another manifest than the one in force on this
// host.
TEST(relayed_run, a_relay_with_another_manifest_stays_usable)
{
    start();
    call(0).on_event(relay_refused{relay_refusal::other_route});
    UNSIGNED_LONGS_EQUAL(2, relays.port.runs.size());
    call(1).on_event(relay_refused{relay_refusal::leaving});
    UNSIGNED_LONGS_EQUAL(3, f.exchanges.all.size());
    // Only the draining relay is excluded.
    STRCMP_EQUAL(call(0).to.c_str(), relays.choose().c_str());
}

// A relay stops with many open queries. Guards against shards that run at
// more upstreams than the route allows (shards of 6 queries ran at 3 upstreams
// instead of 2), and against the whole load of the relay arriving twice.
TEST(relayed_run, a_query_that_a_lost_relay_had_accepted_fails)
{
    start();
    call(0).on_event(relay_accepted{});
    call(0).on_event(relay_lost{.sent = true});
    UNSIGNED_LONGS_EQUAL(502, status());
    UNSIGNED_LONGS_EQUAL(1, relays.port.runs.size());
    CHECK(f.exchanges.all.empty());
}

// Guards against more upstreams than the route allows when a relay that seemed
// frozen has started the query.
TEST(relayed_run, relays_that_may_have_begun_use_up_attempts)
{
    route.attempts = 2;
    start();
    UNSIGNED_LONGS_EQUAL(2, call(0).query.attempts);
    call(0).on_event(relay_lost{.sent = false});
    UNSIGNED_LONGS_EQUAL(2, call(1).query.attempts);
    // The relay may have run shards at two upstreams: nothing is left.
    call(1).on_event(relay_lost{.sent = true});
    UNSIGNED_LONGS_EQUAL(502, status());
    CHECK(f.exchanges.all.empty());
}

// Guards against a query that is lost with one relay although the route allows
// more upstreams than that relay could use.
TEST(relayed_run, an_attempt_is_kept_for_another_relay)
{
    route.attempts = 3;
    start();
    UNSIGNED_LONGS_EQUAL(2, call(0).query.attempts);
    advance(relays.pool.settings().accept_timeout);
    UNSIGNED_LONGS_EQUAL(1, call(1).query.attempts);
    call(1).on_event(relay_lost{.sent = true});
    UNSIGNED_LONGS_EQUAL(502, status());
    CHECK(f.exchanges.all.empty());
}

// Guards against work for callers that have disconnected.
TEST(relayed_run, a_cancelled_run_cancels_the_call)
{
    start();
    call(0).on_event(relay_accepted{});
    run->cancel();
    CHECK(call(0).cancelled);
    CHECK_FALSE(run->next_timer().has_value());
    CHECK_FALSE(answer.has_value());
}

// Guards against callers that wait beyond their deadline for an unresponsive
// relay.
TEST(relayed_run, is_answered_at_the_end_of_its_time)
{
    start();
    call(0).on_event(relay_accepted{});
    advance(route.timeout);
    UNSIGNED_LONGS_EQUAL(504, status());
    CHECK(call(0).cancelled);
}

// Guards against a count of open queries that grows with each query.
TEST(relayed_run, the_load_of_a_relay_falls_when_a_query_ends)
{
    start();
    std::vector<relay_ptr> seen;
    while (auto const it = relays.pool.choose(seen)) {
        seen.push_back(it);
    }
    auto const open = [&seen] {
        std::uint32_t n = 0;
        for (auto const& it : seen) {
            n += it->open;
        }
        return n;
    };
    UNSIGNED_LONGS_EQUAL(1, open());
    call(0).on_event(relay_accepted{});
    call(0).on_event(relay_answer{.answer = merged_answer{}});
    UNSIGNED_LONGS_EQUAL(0, open());
}

// Guards against callers of a data centre that is cut off waiting for
// connections that cannot be made.
TEST(relayed_run, is_refused_at_once_when_the_data_centre_is_cut_off)
{
    f.now += relays.pool.settings().probe_interval;
    relays.pool.probe(f.now);
    relays.port.answer_probes(relay_refused{relay_refusal::cut_off});
    start();
    UNSIGNED_LONGS_EQUAL(503, status());
    auto const& refused = std::get<error_answer>(*answer);
    CHECK(refused.reason.run == run_state::not_run);
    CHECK(refused.retry_after > duration::zero());
    CHECK(f.exchanges.all.empty());
}

// Guards against another relay or a direct run when the first relay may have
// used all attempts.
TEST(relayed_run, fails_when_relays_may_have_used_up_all_attempts)
{
    route.attempts = 2;
    start();
    call(0).on_event(relay_lost{.sent = true});
    UNSIGNED_LONGS_EQUAL(1, relays.port.runs.size());
    UNSIGNED_LONGS_EQUAL(502, status());
    CHECK(f.exchanges.all.empty());
}

// This host is delayed. Guards against mistaking its own delay for a
// time-out of the relay, whose acceptance waits to be read.
TEST(relayed_run, a_host_that_was_held_up_reads_before_it_gives_up)
{
    start();
    f.now += from_ms(200);
    run->on_timer(f.now);
    CHECK_FALSE(call(0).cancelled);
    call(0).on_event(relay_accepted{});
    advance(from_ms(100));
    CHECK_FALSE(call(0).cancelled);
}

// A relay that did not accept a query in time may have run it. Guards against a
// later refusal that tells the caller "not run".
TEST(relayed_run, a_refusal_after_an_ambiguous_relay_does_not_say_not_run)
{
    route.attempts = 3;
    start();
    advance(relays.pool.settings().accept_timeout);
    CHECK(call(0).cancelled);
    call(1).on_event(relay_answer{
        .answer = error_answer{
            .status = 503,
            .reason = {.code = errc::upstream_shed, .run = run_state::not_run},
            .retry_after = from_ms(50)}});
    auto const& error = std::get<error_answer>(*answer);
    UNSIGNED_LONGS_EQUAL(502, error.status);
    CHECK(error.reason.run == run_state::unknown);
    CHECK(error.retry_after == duration::zero());
}

// The same when the host runs the query itself at last and has no upstream.
TEST(relayed_run, a_direct_refusal_after_an_ambiguous_relay_is_unknown)
{
    route.attempts = 3;
    start();
    advance(relays.pool.settings().accept_timeout);
    f.fleet.update({}, {}, f.now);
    call(1).on_event(relay_refused{relay_refusal::busy});
    auto const& error = std::get<error_answer>(*answer);
    UNSIGNED_LONGS_EQUAL(502, error.status);
    CHECK(error.reason.run == run_state::unknown);
}

// Guards against an unknown outcome where no relay can have run the query.
TEST(relayed_run, a_refusal_without_an_ambiguous_relay_stays_not_run)
{
    start();
    call(0).on_event(relay_lost{.sent = false});
    call(1).on_event(relay_answer{
        .answer = error_answer{.status = 503,
                               .reason = {.code = errc::upstream_shed,
                                          .run = run_state::not_run}}});
    UNSIGNED_LONGS_EQUAL(503, status());
}

// Guards against a host that stops without an answer to a query which its relay
// still runs.
TEST(relayed_run, is_answered_when_the_host_ends_its_requests)
{
    start();
    call(0).on_event(relay_accepted{});
    run->time_out();
    UNSIGNED_LONGS_EQUAL(504, status());
    CHECK(call(0).cancelled);
}

// A relay is silent for a while, so that its entry lapses and it fails probes.
// Guards against giving up the query that it still runs, and against running
// it again elsewhere.
TEST(relayed_run, a_query_outlives_the_entry_of_its_relay)
{
    start();
    call(0).on_event(relay_accepted{});
    relays.pool.set_relays({}, f.now);
    advance(from_ms(600));
    CHECK_FALSE(call(0).cancelled);
    UNSIGNED_LONGS_EQUAL(1, relays.port.runs.size());
    CHECK(f.exchanges.all.empty());
    call(0).on_event(relay_answer{.answer = merged_answer{.body = "x"}});
    UNSIGNED_LONGS_EQUAL(200, status());
}
