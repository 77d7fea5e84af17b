#include "adapters/http/client_pool.hpp"
#include "adapters/http/http_client.hpp"
#include "support/raw_peer.hpp"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace snipemill;
using namespace snipemill::test;

namespace {

std::string answer(std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace

TEST_GROUP(http_client)
{
    boost::asio::io_context io;
    raw_server server{io};
    std::vector<http_result> results;
    std::optional<http_client> client;

    void start(std::size_t max_connections = 2, std::size_t max_body = 1000)
    {
        client.emplace(io,
                       http_client_options{.ip = "127.0.0.1",
                                           .port = server.port(),
                                           .max_connections = max_connections,
                                           .max_body = max_body});
    }
    void send(std::string target, duration timeout = from_ms(20'000))
    {
        client->send(
            {.method = "POST", .target = std::move(target)}, timeout,
            [this](http_result r) { results.push_back(std::move(r)); });
    }
    bool wait_requests(std::size_t peer, std::size_t n)
    {
        return run_until(io, [&] {
            return server.peers.size() > peer &&
                   server.peers[peer]->count("\r\n\r\n") == n;
        });
    }
    bool wait_results(std::size_t n)
    {
        return run_until(io, [&] { return results.size() == n; });
    }
    http_failed failed(std::size_t i)
    {
        CHECK(std::holds_alternative<http_failed>(results[i]));
        return std::get<http_failed>(results[i]);
    }
    std::string body(std::size_t i)
    {
        CHECK(std::holds_alternative<http_response>(results[i]));
        return std::get<http_response>(results[i]).body;
    }
    void teardown() override
    {
        client.reset();
        server.close();
        io.restart();
        io.poll();
    }
};

// Guards against a new connection for each request, and callbacks inside the
// call.
TEST(http_client, keeps_its_connection)
{
    start();
    for (std::size_t i = 0; i < 3; ++i) {
        send("/a");
        LONGS_EQUAL(i, results.size());
        CHECK(wait_requests(0, i + 1));
        server.peers[0]->send(answer("b" + std::to_string(i)));
        CHECK(wait_results(i + 1));
        CHECK(body(i) == "b" + std::to_string(i));
    }
    LONGS_EQUAL(1, server.peers.size());
}

// Guards against more connections than allowed and against lost waiters.
TEST(http_client, requests_above_the_limit_wait)
{
    start(1);
    send("/a");
    send("/b");
    CHECK(wait_requests(0, 1));
    server.peers[0]->send(answer("a"));
    CHECK(wait_requests(0, 2));
    server.peers[0]->send(answer("b"));
    CHECK(wait_results(2));
    CHECK(body(0) == "a");
    CHECK(body(1) == "b");
    LONGS_EQUAL(1, server.peers.size());
}

// Guards against a request that fails because a kept connection was closed
// before any byte was sent.
TEST(http_client, replaces_a_closed_kept_connection)
{
    start();
    send("/a");
    CHECK(wait_requests(0, 1));
    server.peers[0]->send(answer("a"));
    CHECK(wait_results(1));
    server.peers[0]->close(); // not noticed before the next call
    send("/b");
    CHECK(wait_requests(1, 1));
    server.peers[1]->send(answer("b"));
    CHECK(wait_results(2));
    CHECK(body(1) == "b");
}

// Guards against repeating a request that may have run, and against calling
// it not sent.
TEST(http_client, close_before_the_answer_is_sent_and_not_repeated)
{
    start();
    send("/a");
    CHECK(wait_requests(0, 1));
    server.peers[0]->close();
    CHECK(wait_results(1));
    CHECK(failed(0).sent);
    CHECK(failed(0).reason == errc::upstream_reset);
    LONGS_EQUAL(1, server.peers.size());
}

// Guards against a truncated answer taken for a whole one.
TEST(http_client, truncated_answer_fails)
{
    start();
    send("/a");
    CHECK(wait_requests(0, 1));
    server.peers[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    server.peers[0]->half_close();
    CHECK(wait_results(1));
    CHECK(failed(0).sent);
    CHECK(failed(0).reason == errc::upstream_failed);
}

// Guards against answers that are not HTTP or larger than allowed.
TEST(http_client, malformed_and_oversized_answers_fail)
{
    start();
    for (auto const& text :
         {std::string("nonsense\r\n\r\n"), answer(std::string(2000, 'x'))}) {
        auto const n = results.size();
        send("/a");
        CHECK(wait_requests(n, 1));
        server.peers[n]->send(text);
        CHECK(wait_results(n + 1));
        CHECK(failed(n).sent);
    }
}

// Guards against a server that is gone being reported as ambiguous.
TEST(http_client, refused_connection_is_not_sent)
{
    start();
    server.close();
    send("/a");
    LONGS_EQUAL(0, results.size());
    CHECK(wait_results(1));
    CHECK(!failed(0).sent);
}

// Guards against requests that wait for ever, in the queue or for an answer.
TEST(http_client, timeouts_tell_whether_the_request_was_sent)
{
    start(1);
    send("/a", from_ms(1000));
    CHECK(wait_requests(0, 1));
    send("/b", from_ms(20));
    CHECK(wait_results(2));
    CHECK(!failed(0).sent); // "/b" waited behind "/a"
    CHECK(failed(1).sent);
    CHECK(failed(1).reason == errc::deadline_exceeded);
    CHECK(run_until(io, [&] { return server.peers[0]->closed; }));
}

// Guards against an interim answer taken for the final one.
TEST(http_client, skips_interim_answers)
{
    start();
    send("/a");
    CHECK(wait_requests(0, 1));
    server.peers[0]->send("HTTP/1.1 100 Continue\r\n\r\n" + answer("a"));
    CHECK(wait_results(1));
    CHECK(body(0) == "a");
}

// Guards against callbacks that are kept, with all that they hold, after the
// client is gone.
TEST(http_client, destruction_releases_the_callbacks)
{
    start(1);
    auto const held = std::make_shared<int>(0);
    auto const f = [held](http_result const&) { ++*held; };
    client->send({.method = "POST", .target = "/sent"}, from_ms(20'000), f);
    CHECK(wait_requests(0, 1));
    client->send({.method = "POST", .target = "/waits"}, from_ms(20'000), f);
    client.reset();
    LONGS_EQUAL(2, held.use_count()); // held and f
    CHECK(run_until(io, [&] { return server.peers[0]->closed; }));
    LONGS_EQUAL(0, *held);
}

// Guards against connections that hold their pool, and the pool them, when
// the io_context does not run again after the end of the client.
TEST(http_client, stopped_pool_is_freed_with_its_io_context)
{
    for (bool const sent : {false, true}) {
        auto own = std::make_optional<boost::asio::io_context>();
        auto pool = std::make_shared<client_pool>(
            *own,
            http_client_options{.ip = "127.0.0.1", .port = server.port()});
        std::weak_ptr<client_pool> const weak = pool;
        pool->send({.method = "POST", .target = "/a"}, from_ms(20'000),
                   [](http_result const&) {});
        CHECK(!sent || run_until(*own, [&] {
            io.poll();
            return !server.peers.empty() && server.peers.back()->has("/a");
        }));
        pool->stop();
        pool.reset();
        own.reset();
        CHECK(weak.expired());
    }
}

// Guards against an empty answer with status 200 that no server gave: the
// server closed in the middle of a head, or after an interim answer.
TEST(http_client, a_head_cut_short_is_no_answer)
{
    start();
    std::size_t n = 0;
    for (auto const* const it :
         {"HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\n",
          "HTTP/1.1 200 OK\r\nX-A: b\r\n", "HTTP/1.1 20", "H",
          "HTTP/1.1 100 Continue\r\n\r\n",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"}) {
        send("/a");
        CHECK(wait_requests(n, 1));
        server.peers[n]->send(it);
        for (int i = 0; i < 20; ++i) {
            io.restart();
            io.run_one_for(std::chrono::milliseconds(1));
        }
        server.peers[n]->half_close();
        ++n;
        CHECK(wait_results(n));
        CHECK(std::holds_alternative<http_failed>(results[n - 1]));
    }
}

// Guards against a server that sends bodies without end on several connections:
// each is small enough, together they use up the memory.
TEST(http_client, bounds_the_memory_of_all_answers_together)
{
    auto const memory = std::make_shared<receive_budget>(100'000);
    client.emplace(io, http_client_options{.ip = "127.0.0.1",
                                           .port = server.port(),
                                           .max_connections = 5,
                                           .max_body = 80'000,
                                           .memory = memory});
    for (std::size_t i = 0; i < 5; ++i) {
        send("/a");
        CHECK(wait_requests(i, 1));
        server.peers[i]->send("HTTP/1.1 200 OK\r\n\r\n" +
                              std::string(40'000, 'x'));
        CHECK(memory->used() <= 100'000);
    }
    CHECK(wait_results(3));
    CHECK(memory->used() <= 100'000);
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(failed(i).sent);
    }
}

// The store is called through this client too. Guards against a call that waits
// until its time is over when the server responds with an invalid status.
TEST(http_client, an_invalid_status_fails_at_once)
{
    start();
    std::size_t n = 0;
    for (std::string const status :
         {"000", "001", "099", "101", "600", "999"}) {
        send("/a");
        CHECK(wait_requests(n, 1));
        server.peers[n]->send("HTTP/1.1 " + status +
                              " Odd\r\nContent-Length: 3\r\n\r\na");
        ++n;
        CHECK_TEXT(wait_results(n), status.c_str());
        CHECK(failed(n - 1).sent);
        CHECK(failed(n - 1).reason == errc::upstream_failed);
        CHECK(run_until(io, [&] { return server.peers[n - 1]->closed; }));
    }
}
