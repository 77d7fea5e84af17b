#include "adapters/forward/upstream_links.hpp"
#include "app/core_time.hpp"
#include "support/raw_peer.hpp"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace snipemill;
using namespace snipemill::test;

TEST_GROUP(upstream_links)
{
    boost::asio::io_context io;
    raw_server server{io};
    forward_headers names{.request_id = "x-id",
                          .time_left = "x-left",
                          .stamp = "x-proof",
                          .expected_instance = "x-instance",
                          .load = "x-load",
                          .not_run = "x-not-run"};
    upstream_fleet fleet{{.data_centre = "a"}, 1};
    std::optional<upstream_links> links;
    std::vector<exchange_outcome> outcomes;
    std::function<void()> on_outcome;

    void start(std::uint16_t port = 0)
    {
        fleet.update({{.instance = "i-1",
                       .service = "s",
                       .ip = "127.0.0.1",
                       .port = port != 0 ? port : server.port(),
                       .data_centre = "a"}},
                     {}, core_now());
        links.emplace(io, fleet, names, upstream_links_settings{}, core_now,
                      nullptr);
    }
    upstream_ptr upstream()
    {
        return fleet.all()[0];
    }
    exchange_id send(std::string const& id)
    {
        auto const now = core_now();
        auto const to = upstream();
        to->sent(now);
        return links->send(
            to,
            std::make_shared<forward_request const>(forward_request{
                .id = id,
                .method = "GET",
                .text = "GET / HTTP/1.1\r\nx-id: " + id + "\r\n"}),
            now + from_ms(5000), [this, now, to](exchange_outcome outcome) {
                to->released(now);
                outcomes.push_back(std::move(outcome));
                if (on_outcome) {
                    on_outcome();
                }
            });
    }
    bool wait_request(std::string const& id, std::size_t peer = 0)
    {
        return run_until(io, [&] {
            return server.peers.size() > peer &&
                   server.peers[peer]->has("x-id: " + id + "\r\n");
        });
    }
    void pass(std::chrono::milliseconds time)
    {
        auto const end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            io.restart();
            io.run_one_for(std::chrono::milliseconds(2));
        }
    }
    bool wait_outcomes(std::size_t n)
    {
        return run_until(io, [&] { return outcomes.size() == n; });
    }
    void answer(std::string const& id, std::string const& body,
                std::string const& extra = "", std::size_t peer = 0)
    {
        server.peers[peer]->send(
            "HTTP/1.1 200 OK\r\nx-id: " + id +
            "\r\nx-proof: p\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body + extra);
    }
    void refuse(std::string const& id, std::size_t peer = 0)
    {
        server.peers[peer]->send(
            "HTTP/1.1 503 Service Unavailable\r\nx-id: " + id +
            "\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n");
    }
    std::string body(std::size_t n)
    {
        CHECK(std::holds_alternative<upstream_answer>(outcomes[n]));
        return std::get<upstream_answer>(outcomes[n]).body;
    }
};

TEST(upstream_links, sends_and_keeps_the_connection)
{
    start();
    send("1");
    CHECK(wait_request("1"));
    CHECK(server.peers[0]->has("x-instance: i-1\r\n"));
    answer("1", "one");
    CHECK(wait_outcomes(1));
    send("2");
    CHECK(wait_request("2"));
    answer("2", "two");
    CHECK(wait_outcomes(2));
    STRCMP_EQUAL("two", body(1).c_str());
    UNSIGNED_LONGS_EQUAL(1, server.peers.size());
}

// An upstream sends spoilt load reports. Guards against reports that are lost
// without a trace, and against a log line for each answer.
TEST(upstream_links, counts_malformed_loads_and_notes_few)
{
    start();
    std::vector<std::string> noted;
    links->on_malformed_load(
        [&](upstream_view const& it, std::string_view value) {
            noted.push_back(it.record.instance + " " + std::string(value));
        });
    for (std::size_t i = 0; i < 3; ++i) {
        auto const id = std::to_string(i);
        send(id);
        CHECK(wait_request(id));
        server.peers[0]->send("HTTP/1.1 200 OK\r\nx-id: " + id +
                              "\r\nx-proof: p\r\nx-load: 1,2," +
                              std::string(100, 'z') +
                              "\r\nContent-Length: 0\r\n\r\n");
        CHECK(wait_outcomes(i + 1));
    }
    UNSIGNED_LONGS_EQUAL(3, links->counters().malformed_loads);
    UNSIGNED_LONGS_EQUAL(1, noted.size());
    STRCMP_EQUAL(("i-1 1,2," + std::string(60, 'z')).c_str(), noted[0].c_str());
}

// Guards against passing on a late answer to an earlier request as the answer
// to the current one on the same connection.
TEST(upstream_links, skips_an_answer_to_another_request)
{
    start();
    send("1");
    CHECK(wait_request("1"));
    answer("0", "late");
    answer("1", "one");
    CHECK(wait_outcomes(1));
    STRCMP_EQUAL("one", body(0).c_str());
}

// An upstream refuses a request and sends a second copy of the refusal when the
// connection is in use again. Guards against taking the copy for the answer to
// the retry, which has the same id: the request ran, and would run again.
TEST(upstream_links, a_retry_uses_another_connection_than_its_first_try)
{
    start();
    send("1");
    CHECK(wait_request("1"));
    refuse("1");
    CHECK(wait_outcomes(1));
    send("1");
    CHECK(wait_request("1", 1));
    refuse("1");
    answer("1", "one", "", 1);
    CHECK(wait_outcomes(2));
    STRCMP_EQUAL("one", body(1).c_str());
    UNSIGNED_LONGS_EQUAL(1, server.peers[0]->count("x-id: 1"));
    UNSIGNED_LONGS_EQUAL(1, links->counters().retry_connects);
}

// Guards against one connection more for each retry, which could exceed the
// upstream's limit.
TEST(upstream_links, the_connection_of_a_retry_replaces_an_idle_one)
{
    start();
    send("1");
    CHECK(wait_request("1"));
    refuse("1");
    CHECK(wait_outcomes(1));
    send("1");
    CHECK(wait_request("1", 1));
    CHECK(run_until(io, [&] { return server.peers[0]->closed; }));
    answer("1", "one", "", 1);
    CHECK(wait_outcomes(2));
    send("2");
    CHECK(run_until(io, [&] { return server.peers[1]->has("x-id: 2\r\n"); }));
    UNSIGNED_LONGS_EQUAL(2, server.peers.size());
}

// A retry waits for a connection while another request ends. Guards against
// giving it the connection of its first try, which is free again.
TEST(upstream_links, a_waiting_retry_does_not_get_the_connection_it_has_used)
{
    start();
    send("1");
    CHECK(wait_request("1"));
    refuse("1");
    CHECK(wait_outcomes(1));
    send("2");
    CHECK(run_until(io, [&] { return server.peers[0]->has("x-id: 2\r\n"); }));
    // The answer has arrived, but is read after the retry has begun to wait.
    answer("2", "two");
    send("1");
    CHECK(wait_request("1", 1));
    UNSIGNED_LONGS_EQUAL(1, server.peers[0]->count("x-id: 1"));
    answer("1", "one", "", 1);
    CHECK(wait_outcomes(3));
}

// A late copy of an earlier answer that carries no id. Guards against a refusal
// of an earlier request that is taken for the refusal of this one.
TEST(upstream_links, an_answer_without_an_id_on_a_used_connection_is_lost)
{
    start();
    send("1");
    CHECK(wait_request("1"));
    answer("1", "one");
    CHECK(wait_outcomes(1));
    send("2");
    CHECK(wait_request("2"));
    server.peers[0]->send("HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\n"
                          "Content-Length: 0\r\n\r\n");
    CHECK(wait_outcomes(2));
    CHECK(std::holds_alternative<exchange_lost>(outcomes[1]));
}

// Guards against reading extra bytes after an answer as the start of the next
// answer.
TEST(upstream_links, drops_a_connection_with_extra_bytes)
{
    start();
    send("1");
    CHECK(wait_request("1"));
    answer("1", "one", "HTTP/1.1 200 OK\r\n");
    CHECK(wait_outcomes(1));
    STRCMP_EQUAL("one", body(0).c_str());
    send("2");
    CHECK(wait_request("2", 1));
}

// Guards against passing on a truncated answer as complete.
TEST(upstream_links, a_cut_answer_is_lost)
{
    start();
    send("1");
    CHECK(wait_request("1"));
    server.peers[0]->send(
        "HTTP/1.1 200 OK\r\nx-proof: p\r\nContent-Length: 9\r\n\r\nabc");
    server.peers[0]->half_close();
    CHECK(wait_outcomes(1));
    CHECK(std::holds_alternative<exchange_lost>(outcomes[0]));
}

// An answer without Content-Length ends when its connection is closed. Guards
// against taking that close for a reset, which would lose the answer.
TEST(upstream_links, an_answer_without_length_ends_with_the_connection)
{
    start();
    send("1");
    CHECK(wait_request("1"));
    server.peers[0]->send("HTTP/1.1 200 OK\r\nx-proof: p\r\n\r\nabc");
    CHECK(run_until(io, [&] { return !server.peers[0]->in.empty(); }));
    server.peers[0]->half_close();
    CHECK(wait_outcomes(1));
    STRCMP_EQUAL("abc", body(0).c_str());
}

// Guards against reporting a request as possibly run when the connection was
// refused and no byte was sent.
TEST(upstream_links, a_refused_connection_is_not_sent)
{
    start();
    server.close();
    send("1");
    CHECK(wait_outcomes(1));
    CHECK(std::holds_alternative<exchange_not_sent>(outcomes[0]));
    CHECK(upstream()->reach == reachability::unreachable);
}

// An upstream is down for a while. Guards against never connecting to the
// upstream again.
TEST(upstream_links, finds_an_upstream_that_has_returned)
{
    start();
    auto const port = server.port();
    server.close();
    send("1");
    CHECK(wait_outcomes(1));
    boost::asio::ip::tcp::acceptor reopened(io);
    reopened.open(boost::asio::ip::tcp::v4());
    reopened.set_option(boost::asio::socket_base::reuse_address(true));
    reopened.bind({boost::asio::ip::address_v4::loopback(), port});
    reopened.listen();
    CHECK(run_until(
        io, [&] { return upstream()->reach == reachability::reachable; }));
}

// An upstream does not answer. Guards against leaving it to work on an answer
// that no caller waits for.
TEST(upstream_links, closes_a_released_exchange_at_its_time)
{
    start();
    auto const id = send("1");
    CHECK(wait_request("1"));
    links->release(id, core_now() + from_ms(20));
    CHECK(wait_outcomes(1));
    CHECK(std::get<exchange_lost>(outcomes[0]).closed_by_host);
    CHECK(run_until(io, [&] { return server.peers[0]->closed; }));
}

// Guards against starting a released exchange on a connection that has just
// become free: its result arrived for an exchange that no longer existed, and
// the process terminated.
TEST(upstream_links, a_released_exchange_is_not_begun)
{
    using boost::asio::ip::tcp;
    tcp::endpoint const any(boost::asio::ip::address_v4::loopback(), 0);
    tcp::acceptor acceptor(io, any);
    acceptor.listen(0);
    start(acceptor.local_endpoint().port());
    send("1");
    server.peers.push_back(std::make_shared<raw_peer>(acceptor.accept()));
    server.peers[0]->read();
    CHECK(wait_request("1"));
    // A connection that is never accepted fills the listen queue, so that the
    // next connection set-up waits.
    tcp::socket filler(io);
    filler.connect(acceptor.local_endpoint());
    auto const second = send("2");
    on_outcome = [&] {
        on_outcome = nullptr;
        links->release(second, core_now());
    };
    answer("1", "one");
    CHECK(wait_outcomes(2));
    CHECK(std::holds_alternative<exchange_not_sent>(outcomes[1]));
    send("3");
    CHECK(wait_request("3"));
    CHECK_FALSE(server.peers[0]->has("x-id: 2\r\n"));
    answer("3", "three");
    CHECK(wait_outcomes(3));
    STRCMP_EQUAL("three", body(2).c_str());
}

// Guards against keeping connections to a removed upstream open.
TEST(upstream_links, closes_idle_connections_of_a_removed_upstream)
{
    start();
    auto const it = upstream();
    links->add(it);
    CHECK(run_until(io, [&] { return server.peers.size() == 1; }));
    links->remove(it);
    CHECK(run_until(io, [&] { return server.peers[0]->closed; }));
}

// An upstream at its connection limit closes new connections. Guards against a
// reconnect every 100 ms, which locks out other connections (116,000 attempts
// in 48 s).
TEST(upstream_links, offers_fewer_connections_to_an_upstream_that_closes_them)
{
    start();
    links->add(upstream());
    std::size_t closed = 0;
    run_until(
        io,
        [&] {
            for (; closed < server.peers.size(); ++closed) {
                server.peers[closed]->close();
            }
            return false;
        },
        std::chrono::seconds(2));
    // Connections at 0, 100, 300, 700 and 1500 ms.
    CHECK(closed >= 4 && closed <= 5);
}

// Guards against memory that grows for as long as a faulty upstream sends: in a
// head, in the size line or the trailer of a chunk, or in interim answers.
TEST(upstream_links, ends_an_answer_without_end)
{
    std::size_t n = 0;
    for (auto const& [first, more] :
         std::vector<std::pair<std::string, std::string>>{
             {"HTTP/1.1 200 OK\r\n", "x-filler: aaaaaaaaaaaaaaaaaaaaaaaa\r\n"},
             {"HTTP/1.1 200 OK\r\nx-filler: ", "aaaaaaaaaaaaaaaaaaaaaaaaaa"},
             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=",
              "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"},
             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
              "x-filler: aaaaaaaaaaaaaaaaaaaaaaaa\r\n"},
             {"", "HTTP/1.1 100 Continue\r\n\r\n"}}) {
        if (n == 0) {
            start();
        }
        send("1");
        CHECK(wait_request("1", n));
        auto& peer = *server.peers[n];
        ++n;
        peer.send(first);
        std::string block;
        while (block.size() < 32 * 1024) {
            block += more;
        }
        bool ended = false;
        for (int i = 0; i < 16 && !ended; ++i) {
            peer.send(block);
            pass(std::chrono::milliseconds(50));
            ended = outcomes.size() == n;
        }
        CHECK(wait_outcomes(n));
        CHECK(std::holds_alternative<exchange_lost>(outcomes[n - 1]));
    }
}

// Guards against many bodies that are small enough each, and together use up
// the memory of the host.
TEST(upstream_links, bounds_the_memory_of_many_small_bodies)
{
    start();
    constexpr std::size_t count = 40;
    std::string const body(900 * 1024, 'a');
    for (std::size_t i = 0; i < count; ++i) {
        send(std::to_string(i));
        CHECK(wait_request(std::to_string(i), i));
        server.peers[i]->send("HTTP/1.1 200 OK\r\nx-proof: p\r\n\r\n" + body);
    }
    CHECK(run_until(io, [&] { return !outcomes.empty(); }));
    CHECK(std::holds_alternative<exchange_lost>(outcomes[0]));
    CHECK_COMPARE(links->answer_bytes(), <=, 32U * 1024 * 1024);
}

// Guards against several bodies without end that together use up the memory of
// the host.
TEST(upstream_links, bounds_the_memory_of_all_bodies_together)
{
    start();
    constexpr std::size_t count = 6;
    for (std::size_t i = 0; i < count; ++i) {
        send(std::to_string(i));
        CHECK(wait_request(std::to_string(i), i));
        server.peers[i]->send("HTTP/1.1 200 OK\r\nx-proof: p\r\n\r\n");
    }
    std::string const block(1024 * 1024, 'a');
    for (int mb = 0; mb < 12; ++mb) {
        for (std::size_t i = 0; i < count; ++i) {
            server.peers[i]->send(block);
        }
        pass(std::chrono::milliseconds(60));
    }
    CHECK(run_until(io, [&] {
        CHECK_COMPARE(links->answer_bytes(), <=, 50U * 1024 * 1024);
        return !outcomes.empty();
    }));
    CHECK(std::holds_alternative<exchange_lost>(outcomes[0]));
    CHECK_COMPARE(links->answer_bytes(), <=, 50U * 1024 * 1024);
}

// A faulty upstream responds with a status that HTTP does not have, or switches
// to a protocol that no request asks for. Guards against waiting for a final
// response until the deadline, and against passing the status on.
TEST(upstream_links, an_invalid_status_ends_its_exchange)
{
    start();
    std::size_t n = 0;
    for (std::string const status :
         {"000", "001", "099", "101", "600", "999"}) {
        send("1");
        CHECK(wait_request("1", n));
        // The body is not complete: the status alone has to end the exchange.
        server.peers[n]->send("HTTP/1.1 " + status +
                              " Odd\r\nx-id: 1\r\nx-proof: p\r\n"
                              "Content-Length: 3\r\n\r\na");
        ++n;
        CHECK_TEXT(wait_outcomes(n), status.c_str());
        auto const* const lost = std::get_if<exchange_lost>(&outcomes.back());
        CHECK_TEXT(lost && !lost->closed_by_host, status.c_str());
        CHECK(run_until(io, [&] { return server.peers[n - 1]->closed; }));
        UNSIGNED_LONGS_EQUAL(n, links->counters().invalid_statuses);
    }
}

// Guards against taking a valid interim response for a fault.
TEST(upstream_links, interim_responses_are_skipped)
{
    start();
    send("1");
    CHECK(wait_request("1"));
    for (std::string const status : {"100", "102", "103", "199"}) {
        server.peers[0]->send("HTTP/1.1 " + status + " Interim\r\n\r\n");
    }
    answer("1", "one");
    CHECK(wait_outcomes(1));
    STRCMP_EQUAL("one", body(0).c_str());
    UNSIGNED_LONGS_EQUAL(0, links->counters().invalid_statuses);
}

// Guards against counting the bytes of a header instead of the memory of its
// parsed fields, which is many times as much.
TEST(upstream_links, counts_the_memory_of_parsed_fields)
{
    constexpr std::size_t fields = 8000;
    start();
    send("1");
    CHECK(wait_request("1"));
    std::string header = "HTTP/1.1 200 OK\r\n";
    for (std::size_t i = 0; i < fields; ++i) {
        header += "a:b\r\n";
    }
    server.peers[0]->send(header + "Content-Length: 10\r\n\r\n");
    // A field has at least two pointers for each of its lists and its text.
    CHECK(run_until(io, [&] { return links->answer_bytes() > fields * 40; }));
}

// A request waits for a connection when its upstream leaves the list. Guards
// against sending it once the connection is there, after the time within which
// the upstream must be out of use.
TEST(upstream_links, a_waiting_request_is_not_sent_to_a_removed_upstream)
{
    start();
    send("1");
    auto const removed = upstream();
    fleet.update({}, {}, core_now());
    links->remove(removed);
    CHECK(wait_outcomes(1));
    CHECK(std::holds_alternative<exchange_not_sent>(outcomes[0]));
    pass(std::chrono::milliseconds(50));
    CHECK(server.peers.empty() || !server.peers[0]->has("x-id"));
}

// The same for an upstream that says that it leaves.
TEST(upstream_links, a_waiting_request_is_not_sent_to_a_leaving_upstream)
{
    start();
    send("1");
    auto record = upstream()->record;
    record.draining = true;
    fleet.update({record}, {}, core_now());
    links->end_waiting_for_leaving();
    CHECK(wait_outcomes(1));
    CHECK(std::holds_alternative<exchange_not_sent>(outcomes[0]));
    pass(std::chrono::milliseconds(50));
    CHECK(server.peers.empty() || !server.peers[0]->has("x-id"));
}
