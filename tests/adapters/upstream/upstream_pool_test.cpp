#include "adapters/upstream/upstream_pool_fixture.hpp"

#include <algorithm>
#include <map>

using namespace snipemill;
using namespace snipemill::test;

TEST_GROUP_BASE(upstream_pool, upstream_pool_fixture){};

// Guards against connections that are opened only when a request waits, and
// against more than the maximum.
TEST(upstream_pool, keeps_warm_connections_and_the_maximum)
{
    start(2, 4);
    CHECK(wait_peers(2));
    for (int i = 0; i < 10; ++i) {
        query();
    }
    CHECK(wait_peers(3)); // one of four is kept for control
    CHECK(run_until(io, [&] {
        return server.peers[0]->has("POST") && server.peers[1]->has("POST") &&
               server.peers[2]->has("POST");
    }));
    settle();
    LONGS_EQUAL(3, server.peers.size());
    std::map<raw_peer*, std::size_t> answered;
    CHECK(run_until(io, [&] {
        for (auto const& it : server.peers) {
            if (it->count("POST /search") > answered[it.get()]) {
                ++answered[it.get()];
                it->send(identified(good, *it));
            }
        }
        return results.size() == 10;
    }));
    LONGS_EQUAL(3, server.peers.size());
    LONGS_EQUAL(3, pool->counters().connects);
}

// Guards against a server that is gone being taken for a crash, and against
// connection set-ups in a tight loop.
TEST(upstream_pool, refused_connection_is_unreachable_and_backs_off)
{
    server.close();
    start(4, 8);
    for (std::size_t i = 0; i < 50; ++i) {
        query();
        CHECK(wait_results(i + 1));
        CHECK(failed(i) == sub_outcome::unreachable);
    }
    submit();
    CHECK(wait_outcomes(1));
    CHECK(std::holds_alternative<submit_not_run>(outcomes[0]));
    // 50 ms, 100 ms, 200 ms and so on: at most four at each step.
    CHECK(pool->counters().connects <= 4 * 12);
    LONGS_EQUAL(0, pool->counters().requests);
}

// Guards against a tight loop with a server that accepts and closes.
TEST(upstream_pool, server_that_closes_new_connections_is_backed_off)
{
    start(2, 4);
    std::size_t closed = 0;
    auto const end =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(300);
    while (std::chrono::steady_clock::now() < end) {
        io.restart();
        io.run_one_for(std::chrono::milliseconds(2));
        for (; closed < server.peers.size(); ++closed) {
            server.peers[closed]->reset();
        }
    }
    CHECK(closed >= 2);
    CHECK(pool->counters().connects <= 40);
}

// Guards against a kept connection that the upstream has closed failing the
// next request, although no byte was sent.
TEST(upstream_pool, closed_kept_connection_is_replaced)
{
    start(1, 4);
    query();
    wait_for("POST /search")->send(good);
    CHECK(wait_results(1));
    server.peers[0]->close(); // not noticed before the next call
    query();
    CHECK(run_until(io, [&] {
        return server.peers.size() == 2 && server.peers[1]->has("POST");
    }));
    server.peers[1]->send(good);
    CHECK(wait_results(2));
    CHECK(is_good(results[1]));
}

// Guards against an upstream that restarts between two requests without notice,
// and against one that ends a single idle connection being taken for it.
TEST(upstream_pool, reports_that_all_connections_were_closed_at_once)
{
    start(2, 4);
    std::vector<upstream_id> lost;
    pool->watch_lost_connections(
        [&lost](upstream_id id) { lost.push_back(id); });
    CHECK(wait_peers(2));
    wait_ms(150); // replacements of the last 100 ms do not count
    server.peers[0]->close();
    CHECK(wait_peers(3));
    wait_ms(150);
    CHECK(lost.empty());
    server.peers[1]->close();
    server.peers[2]->close();
    CHECK(run_until(io, [&] { return !lost.empty(); }));
    CHECK(lost == std::vector{upstream_id(1)});
    CHECK(wait_peers(5));
}

// Guards against a status poll that waits for a request or counts against the
// warm connections.
TEST(upstream_pool, status_uses_the_control_connection)
{
    start(1, 2);
    query();
    auto const busy = wait_for("POST /search");
    auto const f = [this](upstream_id, upstream_status s) {
        statuses.push_back(std::move(s));
    };
    pool->status(upstream_id(1), f);
    auto const control = wait_for("GET /status");
    CHECK(control != busy);
    control->send(answer("200 OK", good_status));
    CHECK(run_until(io, [&] { return statuses.size() == 1; }));
    CHECK(statuses[0].starting);
    CHECK(!statuses[0].draining);
    LONGS_EQUAL(1, statuses[0].in_flight);
    LONGS_EQUAL(1, statuses[0].held.size());
    CHECK(statuses[0].held[0].version == index_version(7));

    pool->status(upstream_id(1), f);
    CHECK(run_until(io, [&] { return control->count("GET /status") == 2; }));
    control->reset();
    settle();
    pool->status(upstream_id(1), f);
    LONGS_EQUAL(1, statuses.size());
}

// Guards against connections that stay open to an upstream that has been
// given up, and against cutting off the request in flight.
TEST(upstream_pool, maximum_of_zero_closes_when_idle)
{
    start(2, 4);
    CHECK(wait_peers(2));
    query();
    auto const busy = wait_for("POST /search");
    configure(0, 0);
    CHECK(run_until(io, [&] {
        return server.peers[0]->closed || server.peers[1]->closed;
    }));
    CHECK(!busy->closed);
    busy->send(good);
    CHECK(wait_results(1));
    CHECK(is_good(results[0]));
    CHECK(run_until(io, [&] { return busy->closed; }));
    query();
    CHECK(wait_results(2));
    CHECK(failed(1) == sub_outcome::unreachable);
}

// Guards against a lost callback for an upstream that is not known.
TEST(upstream_pool, unknown_upstream_is_unreachable)
{
    pool.emplace(io, upstream_pool_options{});
    query();
    LONGS_EQUAL(0, results.size());
    CHECK(wait_results(1));
    CHECK(failed(0) == sub_outcome::unreachable);
}

// Guards against callbacks that are kept, with all that they hold, after the
// pool is gone and the io_context does not run again.
TEST(upstream_pool, destruction_releases_the_callbacks)
{
    auto const held = std::make_shared<int>(0);
    for (std::uint32_t const max : {1U, 2U}) {
        start(1, max);
        if (max == 1) {
            CHECK(wait_peers(1));
            settle();
        }
        pool->status(upstream_id(1),
                     [held](upstream_id, upstream_status const&) {});
        for (std::uint32_t i = 0; i < 2; ++i) {
            pool->query({.handle = {next_handle++, 1},
                         .upstream = upstream_id(1),
                         .request = {.version = index_version(7),
                                     .remaining = from_ms(20'000),
                                     .body = "{}"}},
                        [held](slot_handle, sub_result const&) {});
        }
        wait_for(max == 1 ? "GET /status" : "POST /search");
        CHECK(held.use_count() > 3);
        pool.reset();
        LONGS_EQUAL(1, held.use_count());
    }
}

// Guards against an answer that is passed on to the next caller: the upstream
// sends a second copy of it when the connection is in use again.
TEST(upstream_pool, skips_a_late_copy_of_an_earlier_answer)
{
    start(1, 2);
    query();
    auto const peer = wait_for("POST /search");
    auto const first =
        identified(answer("410 Gone", R"({"held": [9]})"), *peer);
    peer->send(first);
    CHECK(wait_results(1));
    query();
    CHECK(run_until(io, [&] { return peer->count("POST /search") == 2; }));
    peer->send(first);
    peer->send(identified(good, *peer));
    CHECK(wait_results(2));
    CHECK(is_good(results[1]));
    LONGS_EQUAL(1, pool->counters().connects);
}

// The same from an upstream that does not repeat the id of the request. Guards
// against reuse of a connection on which such a copy may arrive.
TEST(upstream_pool, does_not_reuse_a_connection_without_ids)
{
    start(1, 2);
    query();
    wait_for("POST /search")->send(good);
    CHECK(wait_results(1));
    query();
    CHECK(wait_peers(2));
    CHECK(run_until(io, [&] { return server.peers[1]->has("POST"); }));
    server.peers[1]->send(good);
    CHECK(wait_results(2));
    CHECK(is_good(results[1]));
}

// Guards against an answer without an id that is taken for the answer to a
// submit: the copy says that an earlier request did not run.
TEST(upstream_pool, an_unidentified_answer_leaves_a_submit_unknown)
{
    start(1, 2);
    query();
    auto const peer = wait_for("POST /search");
    peer->send(identified(good, *peer));
    CHECK(wait_results(1));
    submit();
    CHECK(run_until(io, [&] { return peer->has("POST /execute"); }));
    peer->send(answer("503 Service Unavailable"));
    CHECK(wait_outcomes(1));
    CHECK(std::holds_alternative<submit_unknown>(outcomes[0]));
}

// Guards against an upstream that sends bytes without end on all its
// connections: each answer is small enough, together they use up the memory.
TEST(upstream_pool, bounds_the_memory_of_all_answers_together)
{
    // Two answers of 40,000 bytes with their input buffers of 8 KB.
    start(5, 6, {.max_answer = 80'000, .max_total_answer = 120'000});
    CHECK(wait_peers(5));
    for (int i = 0; i < 5; ++i) {
        query();
    }
    CHECK(run_until(io, [&] {
        return std::all_of(server.peers.begin(), server.peers.end(),
                           [](auto const& it) { return it->has("POST"); });
    }));
    for (auto const& it : server.peers) {
        it->send("HTTP/1.1 200 OK\r\n" + last_id(*it) +
                 "Content-Length: 40000\r\n\r\n" + std::string(39'999, ' '));
    }
    CHECK(wait_results(3));
    settle();
    LONGS_EQUAL(3, results.size());
}

// Guards against a sub-request that waits until its deadline when its upstream
// responds with an invalid status, as if a final response followed.
TEST(upstream_pool, an_invalid_status_is_malformed_at_once)
{
    start(1, 8);
    std::size_t n = 0;
    for (std::string const status :
         {"000", "001", "099", "101", "600", "999"}) {
        query();
        std::shared_ptr<raw_peer> peer;
        CHECK(run_until(io, [&] {
            for (auto const& it : server.peers) {
                if (!it->closed && it->has("POST /search")) {
                    peer = it;
                }
            }
            return peer != nullptr;
        }));
        peer->send(identified(answer(status + " Odd", "abc"), *peer));
        ++n;
        CHECK_TEXT(run_until(io, [&] { return results.size() == n; }),
                   status.c_str());
        auto const* const it = std::get_if<sub_failure>(&results.back());
        CHECK_TEXT(it && it->outcome == sub_outcome::malformed, status.c_str());
        CHECK(run_until(io, [&] { return peer->closed; }));
        UNSIGNED_LONGS_EQUAL(n, pool->counters().malformed);
    }
}
