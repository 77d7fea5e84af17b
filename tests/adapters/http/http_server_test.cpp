#include "adapters/http/http_server.hpp"
#include "support/raw_peer.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <optional>

using namespace snipemill;
using namespace snipemill::test;

namespace {

std::string get(std::string const& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

} // namespace

TEST_GROUP(http_server)
{
    boost::asio::io_context io;
    std::vector<http_request> requests;
    std::vector<http_responder> responders;
    int gone = 0;
    std::optional<http_server> server;

    void start(http_server_options const& options = {})
    {
        server.emplace(io, options, [this](http_request r, http_responder f) {
            requests.push_back(std::move(r));
            responders.push_back(std::move(f));
            return [this] { ++gone; };
        });
    }
    std::shared_ptr<raw_peer> connect()
    {
        return raw_peer::connect(io, server->port());
    }
    void teardown() override
    {
        server.reset();
        responders.clear();
        io.restart();
        io.poll();
    }
};

// Guards against a request or response that loses a part on the way.
TEST(http_server, passes_request_and_response)
{
    start();
    auto const peer = connect();
    peer->send("POST /v1/query?a=1 HTTP/1.1\r\nHost: a\r\nX-Kind: b\r\n"
               "Content-Length: 4\r\n\r\nbody");
    CHECK(run_until(io, [&] { return requests.size() == 1; }));
    CHECK(requests[0].method == "POST");
    CHECK(requests[0].target == "/v1/query?a=1");
    CHECK(requests[0].header("x-kind") == "b");
    CHECK(requests[0].body == "body");
    LONGS_EQUAL(1, server->open_requests());

    responders[0]({.status = 201, .body = "done"});
    CHECK(run_until(io, [&] { return peer->has("\r\n\r\ndone"); }));
    CHECK(peer->has("HTTP/1.1 201"));
    CHECK(run_until(io, [&] { return server->open_requests() == 0; }));
    LONGS_EQUAL(0, gone);
}

// Guards against pipelined data being lost while a handler works.
TEST(http_server, answers_pipelined_requests_in_order)
{
    start();
    auto const peer = connect();
    peer->send(get("/a") + get("/b") + get("/c"));
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(run_until(io, [&] { return requests.size() == i + 1; }));
        LONGS_EQUAL(i + 1, requests.size());
        responders[i]({.body = "answer-" + requests[i].target});
    }
    CHECK(run_until(io, [&] { return peer->has("answer-/c"); }));
    CHECK(peer->in.find("answer-/a") < peer->in.find("answer-/b"));
}

// Guards against work that continues for a caller that has gone.
TEST(http_server, tells_the_handler_that_the_caller_has_gone)
{
    start();
    auto const peer = connect();
    peer->send(get("/a"));
    CHECK(run_until(io, [&] { return requests.size() == 1; }));
    peer->close();
    CHECK(run_until(io, [&] { return gone == 1; }));
    LONGS_EQUAL(0, server->open_requests());
    responders[0]({.body = "late"});
}

// Guards against a malformed request that ends the server or gets no answer.
TEST(http_server, refuses_malformed_request)
{
    start();
    auto const peer = connect();
    peer->send("NONSENSE\r\n\r\n");
    CHECK(run_until(io, [&] { return peer->closed; }));
    CHECK(peer->has("HTTP/1.1 400"));
    CHECK(peer->has(R"("code":"malformed_request","run":"not_run")"));
    LONGS_EQUAL(1, server->bad_requests());
}

// Guards against unbounded memory for a header.
TEST(http_server, refuses_oversized_header)
{
    start({.max_header = 1000});
    auto const peer = connect();
    peer->send("GET / HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n");
    CHECK(run_until(io, [&] { return peer->closed; }));
    CHECK(peer->has("HTTP/1.1 431"));
    CHECK(peer->has("header_too_large"));
}

// Guards against unbounded memory for a body, and against a refusal that is
// lost because the caller is still sending.
TEST(http_server, refuses_oversized_body)
{
    start({.max_body = 1000});
    auto const peer = connect();
    peer->send("POST / HTTP/1.1\r\nContent-Length: 300000\r\n\r\n" +
               std::string(300'000, 'x'));
    CHECK(run_until(io, [&] { return peer->has("body_too_large"); }));
    CHECK(peer->has("HTTP/1.1 413"));
    peer->half_close();
    CHECK(run_until(io, [&] { return peer->closed; }));
    CHECK(peer->error == boost::asio::error::eof);
    LONGS_EQUAL(0, requests.size());
}

// Guards against a chunked body that passes the limit for a body.
TEST(http_server, refuses_oversized_chunked_body)
{
    start({.max_body = 1000});
    auto const peer = connect();
    peer->send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
               "7d0\r\n" +
               std::string(2000, 'x') + "\r\n0\r\n\r\n");
    CHECK(run_until(io, [&] { return peer->closed; }));
    CHECK(peer->has("HTTP/1.1 413"));
}

// Guards against memory that grows for as long as a caller sends: in the size
// line of a chunk or in the trailer, which no limit of a header or body covers.
TEST(http_server, refuses_a_chunk_line_without_end)
{
    std::string const head =
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (auto const& [first, more] :
         std::vector<std::pair<std::string, std::string>>{
             {"5;a=", std::string(1000, 'a')},
             {"0\r\n", "x-filler: " + std::string(1000, 'a') + "\r\n"}}) {
        start({.max_header = 4000});
        auto const peer = connect();
        peer->send(head + first);
        for (int i = 0; i < 20 && peer->in.empty(); ++i) {
            peer->send(more);
            run_until(
                io, [&] { return !peer->in.empty(); }, std::chrono::seconds(0));
        }
        CHECK(run_until(io, [&] { return peer->has("\r\n\r\n"); }));
        CHECK(peer->has("HTTP/1.1 431"));
        CHECK(peer->has(R"("run":"not_run")"));
        LONGS_EQUAL(0, requests.size());
    }
}

// Guards against callers that together use up the memory of the host although
// each request is small enough, and against small requests that pay for it.
TEST(http_server, bounds_the_memory_of_all_requests_together)
{
    start({.max_body = 100'000, .max_received = 200'000});
    std::string const head = "POST / HTTP/1.1\r\nContent-Length: ";
    auto const small = connect();
    small->send(head + "1000\r\n\r\n" + std::string(500, 's'));
    std::vector<std::shared_ptr<raw_peer>> peers;
    for (int i = 0; i < 10; ++i) {
        peers.push_back(connect());
        peers.back()->send(head + "90000\r\n\r\n" + std::string(80'000, 'x'));
    }
    auto const refused = [&] {
        return std::count_if(peers.begin(), peers.end(), [](auto const& it) {
            return it->has("HTTP/1.1 503");
        });
    };
    CHECK(run_until(io, [&] { return refused() >= 8; }));
    LONGS_EQUAL(8, refused());
    for (auto const& it : peers) {
        CHECK(it->in.empty() ||
              (it->has(R"("run":"not_run")") && it->has("Retry-After: 1\r\n")));
    }
    small->send(std::string(500, 's'));
    CHECK(run_until(io, [&] { return requests.size() == 1; }));
    UNSIGNED_LONGS_EQUAL(1000, requests[0].body.size());
}

// Guards against connections held by callers that never finish a request.
TEST(http_server, refuses_slow_request)
{
    start({.header_timeout = from_ms(50)});
    auto const peer = connect();
    peer->send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    CHECK(run_until(io, [&] { return peer->closed; }));
    CHECK(peer->has("HTTP/1.1 408"));
    CHECK(peer->has("request_timeout"));
    LONGS_EQUAL(0, server->open_requests());
}

// Guards against idle connections that stay for ever.
TEST(http_server, closes_idle_connection)
{
    start({.idle_timeout = from_ms(50)});
    auto const peer = connect();
    peer->send(get("/a"));
    CHECK(run_until(io, [&] { return requests.size() == 1; }));
    responders[0]({.body = "one"});
    CHECK(run_until(io, [&] { return peer->closed; }));
    CHECK(peer->has("one"));
    LONGS_EQUAL(1, peer->count("HTTP/1.1"));
}

// Guards against more connections than the server may hold.
TEST(http_server, refuses_connections_above_the_limit)
{
    start({.max_connections = 1});
    auto const first = connect();
    first->send(get("/a"));
    CHECK(run_until(io, [&] { return requests.size() == 1; }));
    auto const second = connect();
    CHECK(run_until(io, [&] { return second->closed; }));
    CHECK(second->has("HTTP/1.1 503"));
    responders[0]({.body = "one"});
    CHECK(run_until(io, [&] { return first->has("one"); }));
}

// Guards against a shutdown that interrupts a request.
TEST(http_server, drain_finishes_requests)
{
    start();
    auto const busy = connect();
    auto const partial = connect();
    busy->send(get("/a"));
    partial->send("GET /b HT");
    CHECK(run_until(io, [&] {
        return requests.size() == 1 && server->open_requests() == 2;
    }));
    server->drain();
    partial->send("TP/1.1\r\n\r\n");
    CHECK(run_until(io, [&] { return requests.size() == 2; }));
    responders[0]({.body = "one"});
    responders[1]({.body = "two"});
    CHECK(run_until(io, [&] { return busy->closed && partial->closed; }));
    CHECK(busy->has("one"));
    CHECK(partial->has("Connection: close"));
    LONGS_EQUAL(0, server->open_requests());
    LONGS_EQUAL(0, gone);
}

// Guards against a request that waits in the listen queue when the server
// drains and is reset.
TEST(http_server, drain_serves_connections_that_the_kernel_has_accepted)
{
    start();
    auto const peer = connect();
    peer->send(get("/a"));
    server->drain();
    CHECK(run_until(io, [&] { return requests.size() == 1; }));
    responders[0]({.body = "one"});
    CHECK(run_until(io, [&] { return peer->closed; }));
    CHECK(peer->has("one"));
}

// Guards against a caller that waits for a handler that dropped the request.
TEST(http_server, dropped_responder_closes_as_an_error)
{
    start();
    auto const peer = connect();
    peer->send(get("/a"));
    CHECK(run_until(io, [&] { return requests.size() == 1; }));
    responders.clear();
    CHECK(run_until(io, [&] { return peer->closed; }));
    CHECK(peer->in.empty());
    CHECK(peer->error != boost::asio::error::eof);
}

// Guards against a caller that takes part of a response for all of it when
// it reads too slowly.
TEST(http_server, slow_reader_gets_an_error_or_all)
{
    start({.idle_timeout = from_ms(50)});
    raw_peer::socket_type slow(io);
    slow.connect({boost::asio::ip::address_v4::loopback(), server->port()});
    boost::asio::write(slow, boost::asio::buffer(get("/a")));
    CHECK(run_until(io, [&] { return requests.size() == 1; }));
    responders[0]({.body = std::string(64 << 20, 'x')});
    CHECK(run_until(io, [&] { return server->open_requests() == 0; }));
    std::string buf(1 << 20, ' ');
    boost::system::error_code ec;
    std::size_t total = 0;
    while (!ec) {
        total += slow.read_some(boost::asio::buffer(buf), ec);
    }
    CHECK(total < (64U << 20));
    CHECK(ec == boost::asio::error::connection_reset);
}

// Guards against callers that wait a second before sending a body.
TEST(http_server, answers_expect_continue)
{
    start();
    auto const peer = connect();
    peer->send("POST / HTTP/1.1\r\nExpect: 100-continue\r\n"
               "Content-Length: 2\r\n\r\n");
    CHECK(run_until(io, [&] { return peer->has("100 Continue\r\n\r\n"); }));
    peer->send("ab");
    CHECK(run_until(io, [&] { return requests.size() == 1; }));
    CHECK(requests[0].body == "ab");
}

// Guards against two lanes that cannot share a port.
TEST(http_server, reuse_port_lets_two_servers_listen)
{
    start({.reuse_port = true});
    http_server other(io, {.port = server->port(), .reuse_port = true},
                      [](http_request const&, http_responder const& f) {
                          f({.body = "other"});
                          return nullptr;
                      });
    LONGS_EQUAL(server->port(), other.port());
}

// Guards against counting the bytes of a header instead of the memory of its
// parsed fields, which is many times as much.
TEST(http_server, bounds_the_memory_of_parsed_fields)
{
    start({.max_received = 1'000'000});
    std::string text = "POST / HTTP/1.1\r\nContent-Length: 10\r\n";
    for (int i = 0; i < 2300; ++i) {
        text += "a:b\r\n";
    }
    std::vector<std::shared_ptr<raw_peer>> peers;
    for (int i = 0; i < 20; ++i) {
        peers.push_back(connect());
        peers.back()->send(text + "\r\n"); // 230,000 bytes in all
    }
    // A field has at least two pointers for each of its lists and its text, so
    // that at most ten such headers fit.
    CHECK(run_until(io, [&] {
        return std::count_if(peers.begin(), peers.end(), [](auto const& it) {
                   return it->has("HTTP/1.1 503");
               }) >= 10;
    }));
    CHECK_FALSE(peers.back()->has("HTTP/1.1 503"));
}

// A request in work may have run. Guards against keeping its memory when it is
// needed, and against a refusal that says "not run".
TEST(http_server, a_request_in_work_that_is_shed_is_reset)
{
    start({.max_body = 100'000, .max_received = 200'000});
    std::vector<std::shared_ptr<raw_peer>> peers;
    for (std::size_t i = 0; i < 3; ++i) {
        peers.push_back(connect());
        peers.back()->send("POST / HTTP/1.1\r\nContent-Length: 80000\r\n\r\n" +
                           std::string(80'000, 'x'));
        CHECK(run_until(io, [&] { return requests.size() == i + 1; }));
    }
    CHECK(run_until(io, [&] { return peers[0]->closed; }));
    CHECK(peers[0]->in.empty());
    LONGS_EQUAL(1, gone);
    responders[2]({.body = "done"});
    CHECK(run_until(io, [&] { return peers[2]->has("done"); }));
}

// Guards against clients that do not wait for responses and take the capacity
// from those that do.
TEST(http_server, pipelined_requests_take_turns)
{
    start({.max_pipelined = 1});
    std::string const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    std::vector<std::shared_ptr<raw_peer>> peers;
    for (std::size_t i = 0; i < 3; ++i) {
        peers.push_back(connect());
        peers.back()->send(request + request);
    }
    CHECK(run_until(io, [&] { return requests.size() == 3; }));
    for (std::size_t i = 0; i < 3; ++i) {
        responders[i]({});
    }
    CHECK(run_until(io, [&] {
        return std::all_of(peers.begin(), peers.end(), [](auto const& it) {
            return it->count("HTTP/1.1 200") == 1;
        });
    }));
    // One of the three second requests has the turn; another client waits for
    // none.
    auto const other = connect();
    other->send(request);
    CHECK(run_until(io, [&] { return requests.size() == 5; }));
    responders[4]({});
    CHECK(run_until(io, [&] { return other->has("HTTP/1.1 200"); }));
    LONGS_EQUAL(5, requests.size());
    responders[3]({});
    CHECK(run_until(io, [&] { return requests.size() == 6; }));
    // A client that leaves gives up its place.
    for (auto const& it : peers) {
        it->close();
    }
    CHECK(run_until(io, [&] { return server->open_connections() == 1; }));
    LONGS_EQUAL(0, server->open_requests());
}
