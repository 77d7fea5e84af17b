#include "forward_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::test;

TEST_GROUP(gather)
{
    forward_fixture f{4};

    merged_answer const& merged(run_driver const& run)
    {
        CHECK(run.answer && std::holds_alternative<merged_answer>(*run.answer));
        return std::get<merged_answer>(*run.answer);
    }
};

// Guards against a merged answer that does not hold the greatest records of the
// shard answers.
TEST(gather, merges_the_parts)
{
    run_driver run(f, f.gather_route());
    f.exchanges.end(0, good_answer("aaaa"));
    f.exchanges.end(1, good_answer("ddddcccc"));
    f.exchanges.end(2, good_answer(""));
    CHECK_FALSE(run.answer.has_value());
    f.exchanges.end(3, good_answer("bbbb"));
    STRCMP_EQUAL("ddddcccc", merged(run).body.c_str());
    UNSIGNED_LONGS_EQUAL(4, merged(run).stamps.size());
    UNSIGNED_LONGS_EQUAL(0, merged(run).missing);
}

// One replica of a shard pauses. Guards against a query that waits for
// the end of the pause while another replica could answer.
TEST(gather, asks_another_replica_of_a_silent_shard)
{
    run_driver run(f, f.gather_route());
    for (std::size_t i = 0; i < 3; ++i) {
        f.exchanges.end(i, good_answer());
    }
    run.pass(from_ms(30));
    UNSIGNED_LONGS_EQUAL(5, f.exchanges.all.size());
    STRCMP_EQUAL("b3", f.exchanges.instance(4).c_str());
    f.exchanges.end(4, good_answer());
    UNSIGNED_LONGS_EQUAL(0, merged(run).missing);
}

// Some shards answer late. Guards against a complete answer that is late
// where an answer without these shards would be in time, and against an answer
// that hides missing shards.
TEST(gather, answers_at_the_objective_with_the_parts_that_are_in)
{
    run_driver run(f, f.gather_route(2, 0.75));
    for (std::size_t i = 0; i < 3; ++i) {
        f.exchanges.end(i, good_answer("aaaa"));
    }
    run.pass(from_ms(99));
    UNSIGNED_LONGS_EQUAL(1, merged(run).missing);
    UNSIGNED_LONGS_EQUAL(3, merged(run).stamps.size());
}

// Guards against a log line that does not name the failing upstreams.
TEST(gather, tells_the_attempts_of_troubled_parts)
{
    run_driver run(f, f.gather_route(2, 0.75));
    for (std::size_t i = 1; i < 4; ++i) {
        f.exchanges.end(i, good_answer());
    }
    f.now += from_ms(5);
    f.exchanges.end(0, exchange_lost{});
    f.now += from_ms(2);
    f.exchanges.end(4, shed_answer());
    auto const summary = run.run->summary();
    STRCMP_EQUAL("a0=lost@5 b0=refused@2 ", summary.attempts.c_str());
    UNSIGNED_LONGS_EQUAL(3, summary.services_answered);
}

// Guards against an answer that covers fewer shards than the route requires.
TEST(gather, waits_on_when_too_few_parts_are_in)
{
    run_driver run(f, f.gather_route(2, 0.75));
    f.exchanges.end(0, good_answer());
    f.exchanges.end(1, good_answer());
    run.pass(from_ms(300));
    CHECK_FALSE(run.answer.has_value());
    f.exchanges.end(2, good_answer());
    run.pass(from_ms(1));
    UNSIGNED_LONGS_EQUAL(1, merged(run).missing);
}

// All upstreams of a shard are unreachable. Guards against waiting for
// this shard.
TEST(gather, leaves_out_a_shard_that_cannot_be_reached)
{
    f.upstream("a2")->reach = reachability::unreachable;
    f.upstream("b2")->reach = reachability::unreachable;
    run_driver run(f, f.gather_route(2, 0.75));
    UNSIGNED_LONGS_EQUAL(3, f.exchanges.all.size());
    for (std::size_t i = 0; i < 3; ++i) {
        f.exchanges.end(i, good_answer());
    }
    UNSIGNED_LONGS_EQUAL(1, merged(run).missing);
}

// Too many shards are unreachable. Guards against starting attempts for a
// query that cannot get enough answers.
TEST(gather, is_refused_at_once_when_too_few_shards_can_be_reached)
{
    for (auto const* const it : {"a1", "b1", "a2", "b2"}) {
        f.upstream(it)->reach = reachability::unreachable;
    }
    run_driver run(f, f.gather_route(2, 0.75));
    UNSIGNED_LONGS_EQUAL(503, run.status());
    UNSIGNED_LONGS_EQUAL(0, f.exchanges.all.size());
}

// Unresponsive upstreams occupy all connections that this host may open.
// Guards against starting attempts of a query that cannot be completed: after
// an attempt the query can no longer be refused as not run.
TEST(gather, is_refused_at_once_when_too_many_shards_are_full)
{
    f.fleet.set_services({{.name = "s0", .max_connections = 8},
                          {.name = "s1", .max_connections = 8}});
    for (auto const* const it : {"a0", "b0", "a1", "b1"}) {
        f.upstream(it)->sent(f.now);
    }
    run_driver run(f, f.gather_route(2, 0.75));
    UNSIGNED_LONGS_EQUAL(503, run.status());
    UNSIGNED_LONGS_EQUAL(0, f.exchanges.all.size());
    CHECK(std::get<error_answer>(*run.answer).retry_after < from_ms(200));
}

// Guards against reporting "not run" after some shards have run the query.
TEST(gather, a_failure_after_some_parts_ran_is_no_refusal)
{
    run_driver run(f, f.gather_route(2, 1));
    f.exchanges.end(0, good_answer());
    f.exchanges.end(1, exchange_lost{});
    f.exchanges.end(4, exchange_lost{});
    UNSIGNED_LONGS_EQUAL(502, run.status());
}

// Guards against an error of an upstream that is counted as a shard answer.
TEST(gather, a_failure_with_a_proof_is_not_a_part)
{
    run_driver run(f, f.gather_route(2, 0.75));
    f.exchanges.end(0, upstream_answer{.status = 500, .stamp = "p"});
    f.exchanges.end(4, upstream_answer{.status = 500, .stamp = "p"});
    for (std::size_t i = 1; i < 4; ++i) {
        f.exchanges.end(i, good_answer());
    }
    UNSIGNED_LONGS_EQUAL(1, merged(run).missing);
}

// The host itself is slow, for example while it opens connections to all
// shards, so that nearly all fetches of a query become overdue at once. Guards
// against hedging every one of them (134 hedges in a query over 135 shards).
TEST(gather, hedges_a_part_of_its_parts)
{
    forward_fixture wide(30);
    run_driver run(wide, wide.gather_route(2, 0.5));
    UNSIGNED_LONGS_EQUAL(30, wide.exchanges.all.size());
    run.pass(from_ms(60));
    // max_hedged_share of 0.34 allows 10.2 hedges, rounded up.
    UNSIGNED_LONGS_EQUAL(30 + 11, wide.exchanges.all.size());
}
