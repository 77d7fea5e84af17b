#include "adapters/upstream/upstream_pool.hpp"
#include "support/raw_peer.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <optional>
#include <set>

using namespace snipemill;
using namespace snipemill::test;

namespace {

std::string answer(std::string const& status, std::string const& body = "",
                   std::string const& headers = "")
{
    return "HTTP/1.1 " + status + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The examples of docs/upstream-protocol.md.
std::string const good_body =
    R"({"version": 7, "partition_count": 64,)"
    R"( "partitions": [{"id": 3, "documents": 120, "matches": 4}],)"
    R"( "records": [{"key": "order-17", "rank": 17.5, "partition": 3,)"
    R"( "body": {"depot": "Kelaniya"}}]})";
std::string const good_status =
    R"({"starting": true, "draining": false, "in_flight": 1,)"
    R"( "held": [{"version": 7, "partition_count": 64,)"
    R"( "partitions": [{"id": 3, "documents": 120}]}]})";
std::string const good = answer("200 OK", good_body);

// What good says.
bool is_good(sub_result const& result)
{
    auto const* const it = std::get_if<sub_answer>(&result);
    std::vector<record> const records = {{.key = "order-17",
                                          .rank = 17.5,
                                          .partition = partition_id(3),
                                          .body = R"({"depot":"Kelaniya"})"}};
    return it != nullptr && it->version == index_version(7) &&
           it->partition_count == 64 && it->partitions.size() == 1 &&
           it->partitions[0].id == partition_id(3) &&
           it->partitions[0].documents == 120 &&
           it->partitions[0].matches == 4 && it->records == records;
}

} // namespace

TEST_GROUP(upstream_pool)
{
    boost::asio::io_context io;
    raw_server server{io};
    std::vector<sub_result> results;
    std::vector<submit_outcome> outcomes;
    std::vector<upstream_status> statuses;
    std::optional<upstream_pool> pool;
    std::uint32_t next_handle = 0;
    std::set<std::shared_ptr<raw_peer>> ended; // by end_answer

    std::string address()
    {
        return "127.0.0.1:" + std::to_string(port);
    }
    std::uint16_t port = server.port();

    void start(std::uint32_t warm, std::uint32_t max,
               upstream_pool_options const& options = {})
    {
        pool.emplace(io, options);
        configure(warm, max);
    }
    void configure(std::uint32_t warm, std::uint32_t max)
    {
        pool->configure({.upstream = upstream_id(1),
                         .address = address(),
                         .warm = warm,
                         .max = max});
    }
    slot_handle query(duration remaining = from_ms(20'000))
    {
        slot_handle const h{next_handle++, 1};
        pool->query({.handle = h,
                     .upstream = upstream_id(1),
                     .request = {.version = index_version(7),
                                 .remaining = remaining,
                                 .body = "{}"}},
                    [this, h](slot_handle got, sub_result r) {
                        CHECK(got == h);
                        results.push_back(std::move(r));
                    });
        return h;
    }
    slot_handle submit(duration remaining = from_ms(20'000))
    {
        slot_handle const h{next_handle++, 1};
        pool->submit({.handle = h,
                      .upstream = upstream_id(1),
                      .request = {.id = request_id(5),
                                  .group = "g",
                                  .key = "k1",
                                  .body = "{\"a\":1}",
                                  .remaining = remaining}},
                     [this](slot_handle, submit_result r) {
                         CHECK(r.id == request_id(5));
                         outcomes.push_back(std::move(r.outcome));
                     });
        return h;
    }
    void cancel(slot_handle h)
    {
        pool->cancel({.handle = h, .upstream = upstream_id(1)});
    }
    // The connection that has received the text, waiting for it.
    std::shared_ptr<raw_peer> wait_for(std::string const& text)
    {
        std::shared_ptr<raw_peer> found;
        CHECK(run_until(io, [&] {
            for (auto const& it : server.peers) {
                if (it->has(text)) {
                    found = it;
                }
            }
            return found != nullptr;
        }));
        return found;
    }
    // Sends the text on the connection with the only open request, the n-th
    // of all, and ends the connection.
    void end_answer(std::size_t n, std::string const& text)
    {
        auto const requests = [this] {
            std::size_t all = 0;
            for (auto const& it : server.peers) {
                all += it->count("POST");
            }
            return all;
        };
        CHECK(run_until(io, [&] { return requests() == n + 1; }));
        for (auto const& it : server.peers) {
            if (it->has("POST") && !it->closed && ended.insert(it).second) {
                it->send(text);
                it->half_close();
            }
        }
    }
    bool wait_peers(std::size_t n)
    {
        return run_until(io, [&] { return server.peers.size() == n; });
    }
    bool wait_results(std::size_t n)
    {
        return run_until(io, [&] { return results.size() == n; });
    }
    bool wait_outcomes(std::size_t n)
    {
        return run_until(io, [&] { return outcomes.size() == n; });
    }
    sub_outcome failed(std::size_t i)
    {
        CHECK(std::holds_alternative<sub_failure>(results[i]));
        return std::get<sub_failure>(results[i]).outcome;
    }
    void settle()
    {
        io.restart();
        io.poll();
    }
    void teardown() override
    {
        pool.reset();
        server.close();
        settle();
    }
};

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
                it->send(good);
            }
        }
        return results.size() == 10;
    }));
    LONGS_EQUAL(3, server.peers.size());
    LONGS_EQUAL(3, pool->counters().connects);
}

// Guards against a request whose headers do not say what the protocol needs.
TEST(upstream_pool, sends_the_headers_of_the_protocol)
{
    start(1, 4);
    query();
    LONGS_EQUAL(0, results.size());
    auto const peer = wait_for("POST /search");
    CHECK(peer->has("X-Request-Id: "));
    CHECK(peer->has("X-Index-Version: 7\r\n"));
    CHECK(peer->has("X-Deadline-Ms: "));
    peer->send(good);
    CHECK(wait_results(1));
    CHECK(is_good(results[0]));
}

// Guards against an answer that is mapped to the wrong outcome.
TEST(upstream_pool, maps_answers_of_queries)
{
    start(1, 4);
    std::vector<std::pair<std::string, sub_outcome>> const cases = {
        {answer("503 No", "", "Retry-After: 1\r\n"), sub_outcome::shed},
        {answer("503 No", "", "X-Draining: 1\r\n"), sub_outcome::draining},
        {answer("504 Late"), sub_outcome::timed_out},
        {answer("499 Cancelled"), sub_outcome::cancelled},
        {answer("400 Bad", "{}"), sub_outcome::refused},
        {answer("500 Fault"), sub_outcome::malformed},
        {answer("200 OK", "{nonsense"), sub_outcome::malformed},
        {answer("200 OK", R"({"version":7})"), sub_outcome::malformed},
        {answer("410 Gone", R"({"held": [8, 9]})"), sub_outcome::version_gone},
    };
    for (auto const& [text, outcome] : cases) {
        auto const n = results.size();
        query();
        CHECK(run_until(io, [&] {
            return !server.peers.empty() &&
                   server.peers[0]->count("POST") == n + 1;
        }));
        server.peers[0]->send(text);
        CHECK(wait_results(n + 1));
        CHECK(failed(n) == outcome);
    }
    std::vector<index_version> const held = {index_version(8),
                                             index_version(9)};
    CHECK(std::get<sub_failure>(results.back()).held == held);
    LONGS_EQUAL(3, pool->counters().malformed);
}

// Guards against a crash inside the answer that is not suspected, since the
// owner counts only resets.
TEST(upstream_pool, answer_cut_off_by_the_upstream_is_a_reset)
{
    start(1, 4);
    std::string const chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::vector<std::string> const starts = {
        "",
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n",
        good.substr(0, good.size() - 1),
        "HTTP/1.1 503 No\r\nContent-Length: 5\r\n\r\n",
        chunked + "32\r\n{\"ver",
        chunked + "5\r\n{\"ver\r\n",
        "HTTP/1.1 200 OK\r\n\r\n{\"ver",
    };
    for (std::size_t i = 0; i < starts.size(); ++i) {
        query();
        end_answer(i, starts[i]);
        CHECK(wait_results(i + 1));
        CHECK(failed(i) == sub_outcome::reset);
    }
    LONGS_EQUAL(1, pool->counters().resets);
    LONGS_EQUAL(7, pool->counters().truncated);
    LONGS_EQUAL(0, pool->counters().malformed);
}

// Guards against an answer lost to a reset, by the network's signal, that is
// taken for a malformed one.
TEST(upstream_pool, connection_reset_is_a_reset)
{
    start(1, 4);
    query();
    wait_for("POST /search")->reset();
    CHECK(wait_results(1));
    CHECK(failed(0) == sub_outcome::reset);
    LONGS_EQUAL(1, pool->counters().resets);
}

// Guards against a fault of the answer's content taken for a crash, which
// would quarantine a harmless query.
TEST(upstream_pool, complete_answer_before_a_close_is_malformed)
{
    start(1, 4);
    std::vector<std::string> const texts = {
        answer("200 OK", "{\"ver"),
        "HTTP/1.1 200 OK\r\n\r\n{\"version\":7}",
        "HTTP/1.1 200 OK\r\n\r\n{nonsense",
        "nonsense\r\n\r\n",
    };
    for (std::size_t i = 0; i < texts.size(); ++i) {
        query();
        end_answer(i, texts[i]);
        CHECK(wait_results(i + 1));
        CHECK(failed(i) == sub_outcome::malformed);
    }
    LONGS_EQUAL(0, pool->counters().resets);
    LONGS_EQUAL(0, pool->counters().truncated);
    LONGS_EQUAL(4, pool->counters().malformed);
}

// Guards against a submit whose answer is cut off being reported as answered
// or as a fault of the answer.
TEST(upstream_pool, submit_answer_cut_off_is_an_unknown_outcome)
{
    start(1, 4);
    std::vector<std::pair<std::string, errc>> const cases = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"b\":2}",
         errc::upstream_reset},
        {"HTTP/1.1 200 OK\r\n\r\n{\"b\":", errc::upstream_reset},
        {"HTTP/1.1 503 No\r\nContent-Le", errc::upstream_reset},
        {"nonsense\r\n\r\n", errc::upstream_failed},
    };
    for (std::size_t i = 0; i < cases.size(); ++i) {
        submit();
        end_answer(i, cases[i].first);
        CHECK(wait_outcomes(i + 1));
        CHECK(outcomes[i] == submit_outcome(submit_unknown{cases[i].second}));
    }
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

// Guards against a cancelled request that keeps its slot at the upstream.
TEST(upstream_pool, cancel_sends_delete_on_another_connection)
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
    peer->send(answer("499 Cancelled"));
    CHECK(wait_results(1));
    CHECK(failed(0) == sub_outcome::cancelled);
    settle();
    LONGS_EQUAL(1, control->count("DELETE"));
    CHECK(!peer->closed);
}

// Guards against a cancel that waits for ever on a dead upstream.
TEST(upstream_pool, cancel_without_answer_closes_the_connection)
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
TEST(upstream_pool, cancel_with_one_connection_closes_it)
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
TEST(upstream_pool, cancel_of_a_waiting_request)
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
TEST(upstream_pool, deadline_cancels_and_reports)
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

// Guards against a submit reported as not run although it may have run, and
// the other way round.
TEST(upstream_pool, maps_answers_of_submits)
{
    start(1, 4);
    std::vector<std::pair<std::string, submit_outcome>> const cases = {
        {answer("200 OK", R"({"b":2})"),
         submit_answered{.status = 200, .body = R"({"b":2})"}},
        {answer("409 No", R"({"e":1})"),
         submit_answered{.status = 409, .body = R"({"e":1})"}},
        {answer("400 Bad"), submit_not_run{errc::malformed_request}},
        {answer("503 No"), submit_not_run{errc::upstream_shed}},
        {answer("503 No", "", "X-Draining: 1\r\n"),
         submit_not_run{errc::upstream_draining}},
        {answer("504 Late"), submit_not_run{errc::deadline_exceeded}},
        {answer("499 Cancelled"), submit_unknown{errc::cancelled}},
        {answer("500 Fault", "{}"), submit_unknown{errc::upstream_failed}},
        {answer("200 OK", "{nonsense"), submit_unknown{errc::upstream_failed}},
    };
    for (auto const& [text, outcome] : cases) {
        auto const n = outcomes.size();
        submit();
        CHECK(run_until(io, [&] {
            return !server.peers.empty() &&
                   server.peers[0]->count("POST") == n + 1;
        }));
        server.peers[0]->send(text);
        CHECK(wait_outcomes(n + 1));
        CHECK(outcomes[n] == outcome);
    }
    CHECK(server.peers[0]->has("Idempotency-Key: k1\r\n"));
    CHECK(server.peers[0]->has(R"({"group":"g","request":{"a":1}})"));
    submit();
    CHECK(run_until(io, [&] { return server.peers[0]->count("POST") == 10; }));
    server.peers[0]->reset();
    CHECK(wait_outcomes(10));
    CHECK(outcomes[9] == submit_outcome(submit_unknown{errc::upstream_reset}));
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
