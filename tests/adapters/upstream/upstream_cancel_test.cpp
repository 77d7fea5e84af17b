#include "adapters/upstream/upstream_pool_fixture.hpp"

using namespace snipemill;
using namespace snipemill::test;

TEST_GROUP_BASE(upstream_cancel, upstream_pool_fixture){};

// Guards against a cancelled request that keeps its slot at the upstream.
TEST(upstream_cancel, cancel_sends_delete_on_another_connection)
{
    start(1, 4);
    auto const h = query();
    auto const peer = wait_for("POST /search");
    auto const at = peer->in.find("X-Request-Id: ") + 14;
    auto const id = peer->in.substr(at, peer->in.find("\r\n", at) - at);
    cancel(h);
    cancel(h);
    auto const control = wait_for("DELETE /requests/" + id + " ");
    CHECK(control != peer);
    control->send(answer("204 No Content"));
    peer->send(identified(answer("499 Cancelled"), *peer));
    CHECK(wait_results(1));
    CHECK(failed(0) == sub_outcome::cancelled);
    settle();
    LONGS_EQUAL(1, control->count("DELETE"));
    CHECK(!peer->closed);
}

// Guards against a cancel that waits for ever on a dead upstream.
TEST(upstream_cancel, cancel_without_answer_closes_the_connection)
{
    start(1, 4, {.cancel_grace = from_ms(30)});
    auto const h = query();
    auto const peer = wait_for("POST /search");
    cancel(h);
    CHECK(wait_results(1));
    CHECK(failed(0) == sub_outcome::cancelled);
    CHECK(run_until(io, [&] { return peer->closed; }));
}

// Guards against an upstream with one connection that cannot be cancelled.
TEST(upstream_cancel, cancel_with_one_connection_closes_it)
{
    start(1, 1);
    auto const h = query();
    auto const peer = wait_for("POST /search");
    cancel(h);
    CHECK(wait_results(1));
    CHECK(failed(0) == sub_outcome::cancelled);
    CHECK(run_until(io, [&] { return peer->closed; }));
}

// Guards against a waiting request that cannot be cancelled, and against a
// callback inside the call.
TEST(upstream_cancel, cancel_of_a_waiting_request)
{
    start(1, 2);
    query();
    wait_for("POST /search");
    auto const h = query();
    cancel(h);
    LONGS_EQUAL(0, results.size());
    CHECK(wait_results(1));
    CHECK(failed(0) == sub_outcome::cancelled);
    LONGS_EQUAL(1, server.peers[0]->count("POST"));
}

// Guards against requests that outlive their deadline, waiting or sent.
TEST(upstream_cancel, deadline_cancels_and_reports)
{
    start(1, 2, {.cancel_grace = from_ms(30)});
    query(from_ms(500));
    auto const peer = wait_for("POST /search");
    query(from_ms(1));
    submit(from_ms(1));
    CHECK(wait_results(2));
    CHECK(failed(0) == sub_outcome::timed_out);
    CHECK(failed(1) == sub_outcome::timed_out);
    CHECK(wait_outcomes(1));
    CHECK(std::get<submit_not_run>(outcomes[0]).reason ==
          errc::deadline_exceeded);
    wait_for("DELETE /requests/");
    CHECK(run_until(io, [&] { return peer->closed; }));
    settle();
    LONGS_EQUAL(2, results.size());
}
