#include "forward_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::test;

namespace {

constexpr fingerprint crashing{7};

// Upstreams that a request may reach after it has ended the third one.
constexpr std::size_t max_after_third = 3;

} // namespace

TEST_GROUP(crashing_request)
{
    forward_fixture f{4};

    void setup() override
    {
        // Upstreams that crash may not run out before the test ends.
        f.shared.budget_settings = {.floor = 1000};
    }
    // Ends all exchanges from n on as a crash of their upstreams does: the
    // connections close, and the upstreams come back as new processes.
    void crash_from(std::size_t n)
    {
        for (; n < f.exchanges.all.size(); ++n) {
            auto const instance = f.exchanges.instance(n);
            if (f.exchanges.all[n].on_outcome) {
                f.exchanges.end(n, exchange_lost{});
            }
            for (auto& it : f.records) {
                it.started_ms += it.instance == instance ? 1 : 0;
            }
        }
        f.update();
    }
    // Sends the request as its caller does, again and again.
    std::size_t sends_of_repeated_request(forward_route const& route)
    {
        for (int i = 0; i < 8; ++i) {
            auto const n = f.exchanges.all.size();
            run_driver run(f, route, crashing);
            crash_from(n);
            run.pass(from_ms(1000));
            crash_from(n);
            f.now += from_ms(1000);
        }
        return f.exchanges.all.size();
    }
};

// Guards against sending a request to upstreams for as long as its caller
// repeats it, although it ends every upstream that runs it.
TEST(crashing_request, is_not_sent_again_after_it_ended_three_upstreams)
{
    auto const n =
        sends_of_repeated_request(f.single_route(idempotency::idempotent));
    CHECK(n >= 3);
    CHECK_COMPARE(n, <=, 3 + max_after_third);
}

// The same for a query over many shards, which reaches all shards at once.
TEST(crashing_request, a_query_ends_at_most_one_replica_of_each_shard)
{
    auto const n = sends_of_repeated_request(f.gather_route());
    CHECK_COMPARE(n, <=, f.names.size() + max_after_third);
}

// Guards against refusing an innocent request that ran on the upstreams which
// another request ended.
TEST(crashing_request, others_on_the_same_upstreams_are_answered)
{
    constexpr fingerprint innocent{8};
    auto const route = f.single_route(idempotency::idempotent);
    {
        // Two replicas run both requests, and end.
        run_driver first(f, route, crashing);
        run_driver second(f, route, innocent);
        crash_from(0);
    }
    f.now += from_ms(1000);
    auto const n = f.exchanges.all.size();
    run_driver again(f, route, crashing);
    run_driver second(f, route, innocent);
    CHECK(f.exchanges.instance(n) != f.exchanges.instance(n + 1));
    f.exchanges.end(n + 1, good_answer());
    crash_from(n);
    UNSIGNED_LONGS_EQUAL(200, second.status());
    CHECK(f.shared.crashes.verdict(crashing, f.now) == crash_verdict::refused);
    CHECK(f.shared.crashes.verdict(innocent, f.now) == crash_verdict::clear);
}

// Guards against counting an upstream's end against a request that another
// upstream answers afterwards.
TEST(crashing_request, an_answer_elsewhere_clears_a_request)
{
    constexpr fingerprint innocent{8};
    auto const route = f.single_route(idempotency::idempotent);
    for (int i = 0; i < 4; ++i) {
        auto const n = f.exchanges.all.size();
        run_driver run(f, route, innocent);
        f.exchanges.end(n, exchange_lost{});
        f.exchanges.end(n + 1, good_answer());
        crash_from(n);
        CHECK(run.status() == 200);
    }
    CHECK(f.shared.crashes.verdict(innocent, f.now) == crash_verdict::clear);
}

// Guards against refusing requests whose connections broke while the upstreams
// went on running.
TEST(crashing_request, a_reset_connection_is_no_crash)
{
    auto const route = f.single_route(idempotency::idempotent);
    for (int i = 0; i < 4; ++i) {
        auto const n = f.exchanges.all.size();
        run_driver run(f, route, crashing);
        f.exchanges.end(n, exchange_lost{});
        f.exchanges.end(n + 1, exchange_lost{});
        f.now += from_ms(1000);
    }
    CHECK(f.shared.crashes.verdict(crashing, f.now) == crash_verdict::clear);
}

// Guards against counting the planned end of an upstream.
TEST(crashing_request, the_end_of_a_draining_upstream_is_no_crash)
{
    auto const route = f.single_route(idempotency::idempotent);
    run_driver run(f, route, crashing);
    f.records[0].draining = true;
    f.update();
    crash_from(0);
    CHECK(f.shared.crashes.verdict(crashing, f.now) != crash_verdict::refused);
    UNSIGNED_LONGS_EQUAL(1, f.shared.crashes.size());
}

// Guards against a query that ends a replica of every shard a second time: a
// suspect goes to one shard, and to the others when that one has answered.
TEST(crashing_request, a_suspected_query_starts_with_one_shard)
{
    auto const route = f.gather_route();
    {
        run_driver run(f, route, crashing);
        crash_from(0);
        run.pass(from_ms(1000));
        crash_from(0);
    }
    CHECK(f.shared.crashes.verdict(crashing, f.now) == crash_verdict::suspect);
    auto const n = f.exchanges.all.size();
    run_driver again(f, route, crashing);
    UNSIGNED_LONGS_EQUAL(n + 1, f.exchanges.all.size());
    f.exchanges.end(n, good_answer("aaaa"));
    UNSIGNED_LONGS_EQUAL(n + 4, f.exchanges.all.size());
    for (std::size_t i = n + 1; i < n + 4; ++i) {
        f.exchanges.end(i, good_answer("aaaa"));
    }
    UNSIGNED_LONGS_EQUAL(200, again.status());
    CHECK(f.shared.crashes.verdict(crashing, f.now) == crash_verdict::clear);
}

// Guards against retrying a query on the second replica of every shard when
// the first replicas were lost with it, and against giving up a query that
// merely lost two of its shards.
TEST(crashing_request, a_query_without_an_answer_is_not_retried)
{
    run_driver run(f, f.gather_route(2, 1), crashing);
    f.exchanges.end(0, exchange_lost{});
    f.exchanges.end(1, exchange_lost{});
    f.exchanges.end(2, good_answer("aaaa"));
    run.pass(from_ms(20));
    // The retry of the first loss, and that of the second after the answer.
    UNSIGNED_LONGS_EQUAL(6, f.exchanges.all.size());
    f.exchanges.end(3, good_answer("aaaa"));
    f.exchanges.end(4, good_answer("aaaa"));
    f.exchanges.end(5, good_answer("aaaa"));
    UNSIGNED_LONGS_EQUAL(200, run.status());
}

// Guards against a refusal that callers cannot act on.
TEST(crashing_request, the_refusal_states_that_the_request_has_not_run)
{
    sends_of_repeated_request(f.single_route(idempotency::idempotent));
    auto const n = f.exchanges.all.size();
    run_driver run(f, f.single_route(idempotency::idempotent), crashing);
    auto const& refused = std::get<error_answer>(*run.answer);
    UNSIGNED_LONGS_EQUAL(503, refused.status);
    CHECK(refused.reason.run == run_state::not_run);
    CHECK(refused.reason.code == errc::quarantined);
    CHECK(refused.retry_after > duration::zero());
    UNSIGNED_LONGS_EQUAL(n, f.exchanges.all.size());
}

// Guards against a host that takes part in ending upstreams again because it
// has seen none of the crashes itself.
TEST(crashing_request, crashes_seen_by_other_hosts_count)
{
    std::vector<crash_entry> entries;
    for (std::uint32_t i = 0; i < 3; ++i) {
        entries.push_back({.print = crashing, .upstream = upstream_id(i)});
    }
    f.shared.crashes.set_shared(entries, f.now);
    run_driver run(f, f.single_route(idempotency::idempotent), crashing);
    UNSIGNED_LONGS_EQUAL(0, f.exchanges.all.size());
    UNSIGNED_LONGS_EQUAL(503, run.status());
    // An operator removes the entries.
    f.shared.crashes.set_shared({}, f.now);
    CHECK(f.shared.crashes.verdict(crashing, f.now) == crash_verdict::clear);
}
