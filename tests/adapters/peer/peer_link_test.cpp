#include "adapters/peer/h2_session.hpp"
#include "adapters/peer/peer_link.hpp"
#include "support/raw_peer.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <optional>

using namespace snipemill;
using namespace snipemill::test;
using namespace std::string_literals;

namespace {

std::string const settings_frame = "\0\0\0\x04\0\0\0\0\0"s;
std::string const goaway_frame = "\0\0\x08\x07\0\0\0\0\0\0\0\0\0\0\0\0\0"s;
std::string const refused_frame = "\0\0\x04\x03\0\0\0\0\x01\0\0\0\x07"s;
std::string const reset_frame = "\0\0\x04\x03\0\0\0\0\x01\0\0\0\x02"s;

struct open_request
{
    std::vector<std::string> messages;
    std::optional<stream_failed> failed;
    bool ended = false;
    int finals = 0;
    std::shared_ptr<peer_stream> stream;

    bool done() const { return finals > 0; }
};

// Sends a body that is not a complete message.
class broken_request : public h2_stream
{
public:
    broken_request() : h2_stream(1000)
    {
        out = "\0\0\0\x05"
              "ab"s;
        out_end = true;
    }
    void on_header(std::string_view, std::string_view) override {}
    void on_message(std::string) override {}
    void on_too_large() override {}
    void on_remote_end() override {}
    void on_closed(h2_close const& close) override { error = close.error; }

    std::optional<std::uint32_t> error;
};

} // namespace

TEST_GROUP(peer_link)
{
    boost::asio::io_context io;
    std::optional<peer_server> server;
    std::optional<peer_client> client;
    std::vector<peer_request> served;
    std::vector<std::shared_ptr<open_request>> requests;
    int gone = 0;
    std::uint16_t port = 0;

    void start(peer_link_options const& server_options = {},
               peer_link_options const& client_options = {})
    {
        server.emplace(io, server_options, [this](peer_request r) {
            *r.on_gone = [this] { ++gone; };
            r.on_gone = nullptr;
            served.push_back(std::move(r));
        });
        port = server->port();
        client.emplace(io, client_options);
    }
    std::shared_ptr<open_request> open(std::string message,
                                       std::string const& name = "h1")
    {
        auto it = std::make_shared<open_request>();
        requests.push_back(it);
        it->stream = client->open(
            {host_id(name), "127.0.0.1", port}, "/peer/query",
            std::move(message), [it](stream_event event) {
                CHECK(!it->done());
                if (auto* const text = std::get_if<std::string>(&event)) {
                    it->messages.push_back(std::move(*text));
                    return;
                }
                ++it->finals;
                it->ended = std::holds_alternative<stream_ended>(event);
                if (auto* const failed = std::get_if<stream_failed>(&event)) {
                    it->failed = *failed;
                }
            });
        CHECK(!it->done());
        return it;
    }
    bool wait_served(std::size_t n)
    {
        return run_until(io, [&] { return served.size() == n; });
    }
    bool wait_done(std::shared_ptr<open_request> const& it)
    {
        return run_until(io, [&] { return it->done(); });
    }
    void teardown() override
    {
        client.reset();
        server.reset();
        served.clear();
        requests.clear();
        io.restart();
        io.poll();
    }
};

// Guards against lost, joined or reordered messages.
TEST(peer_link, passes_a_request_and_a_sequence_of_answers)
{
    start();
    auto const request = open("question");
    CHECK(wait_served(1));
    CHECK(served[0].path == "/peer/query");
    CHECK(served[0].message == "question");
    LONGS_EQUAL(1, server->open_streams());
    served[0].responder->send("one", false);
    CHECK(run_until(io, [&] { return request->messages.size() == 1; }));
    served[0].responder->send("", false);
    served[0].responder->send(std::string(1, '\0'), true);
    served[0].responder->send("late", true);
    CHECK(wait_done(request));
    CHECK(request->ended);
    LONGS_EQUAL(3, request->messages.size());
    CHECK(request->messages[2] == std::string(1, '\0'));
    CHECK(run_until(io, [&] { return server->open_streams() == 0; }));
    LONGS_EQUAL(0, gone);
    LONGS_EQUAL(1, client->counters().streams_opened);
    LONGS_EQUAL(1, server->counters().streams_served);
}

// Guards against streams served for other hosts' control threads that are
// missing from the control traffic, and against traffic that counts as such.
TEST(peer_link, counts_connections_with_control_paths_apart)
{
    start({.control_paths = {"/peer/config"}});
    open("traffic");
    CHECK(wait_served(1));
    LONGS_EQUAL(0, server->counters().control_bytes_received);
    auto const traffic = server->counters().bytes_received;

    peer_client other(io, {});
    other.open({host_id("h1"), "127.0.0.1", port}, "/peer/config", "control",
               [](stream_event const&) {});
    CHECK(wait_served(2));
    served[1].responder->send("answer", true);
    auto const& counters = server->counters();
    CHECK(run_until(io, [&] {
        return other.counters().bytes_received > 0 &&
               counters.control_bytes_sent == other.counters().bytes_received &&
               counters.control_bytes_received == other.counters().bytes_sent;
    }));
    CHECK(counters.bytes_received >= traffic + counters.control_bytes_received);
}

// Guards against flow control that stalls a message larger than the window.
TEST(peer_link, passes_messages_larger_than_the_window)
{
    start({.window = 70'000}, {.window = 70'000});
    std::string const large(3'000'000, 'x');
    auto const request = open(large);
    CHECK(wait_served(1));
    CHECK(served[0].message == large);
    served[0].responder->send(large, true);
    CHECK(wait_done(request));
    CHECK(request->ended);
    CHECK(request->messages.at(0) == large);
}

// Guards against streams that are mixed up or lost when thousands are open,
// also above the limit of the connection.
TEST(peer_link, thousands_of_streams_above_the_limit)
{
    start({.max_streams = 500}, {});
    constexpr std::size_t n = 5000;
    for (std::size_t i = 0; i < n; ++i) {
        open("q" + std::to_string(i));
    }
    std::size_t answered = 0;
    CHECK(run_until(io, [&] {
        for (; answered < served.size(); ++answered) {
            auto const& it = served[answered];
            it.responder->send("a" + it.message, true);
        }
        return std::all_of(requests.begin(), requests.end(),
                           [](auto const& it) { return it->done(); });
    }));
    for (std::size_t i = 0; i < n; ++i) {
        CHECK(requests[i]->ended);
        CHECK(requests[i]->messages.at(0) == "aq" + std::to_string(i));
    }
    LONGS_EQUAL(0, client->counters().streams_failed);
}

// Guards against work that continues for a request that was cancelled, and
// against a callback after the cancel.
TEST(peer_link, cancel_resets_the_stream)
{
    start();
    auto const request = open("question");
    auto const other = open("other");
    CHECK(wait_served(2));
    request->stream->cancel();
    CHECK(run_until(io, [&] { return gone == 1; }));
    served[0].responder->send("late", true);
    served[1].responder->send("answer", true);
    CHECK(wait_done(other));
    CHECK(other->ended);
    CHECK(request->messages.empty());
    CHECK(!request->done());
}

// Guards against a cancel before the connection is made being forgotten.
TEST(peer_link, cancel_before_the_connection_is_made)
{
    start();
    auto const request = open("question");
    request->stream->cancel();
    auto const other = open("other");
    CHECK(wait_served(1));
    CHECK(served[0].message == "other");
}

// Guards against nghttp2's limit of resets closing the connection, since
// hedges are cancelled often.
TEST(peer_link, many_cancels_do_not_close_the_connection)
{
    start();
    for (std::size_t i = 0; i < 3000; ++i) {
        open("q");
    }
    CHECK(wait_served(3000));
    for (auto const& it : requests) {
        it->stream->cancel();
    }
    CHECK(run_until(io, [&] { return gone == 3000; }));
    auto const last = open("last");
    CHECK(wait_served(3001));
    served.back().responder->send("answer", true);
    CHECK(wait_done(last));
    CHECK(last->ended);
}

// Guards against a root that waits for an owner that has died, and against a
// second use of a broken connection.
TEST(peer_link, broken_connection_fails_all_streams)
{
    start();
    auto const a = open("a");
    auto const b = open("b");
    CHECK(wait_served(2));
    served[0].responder->send("part", false);
    CHECK(run_until(io, [&] { return a->messages.size() == 1; }));
    server.reset();
    CHECK(wait_done(a));
    CHECK(wait_done(b));
    CHECK(a->failed && a->failed->sent);
    CHECK(a->failed->reason == errc::peer_unreachable);
    CHECK(b->failed && b->failed->sent);
    LONGS_EQUAL(0, gone);
}

// Guards against an owner that goes on working for a root that has died.
TEST(peer_link, server_is_told_when_the_client_is_gone)
{
    start();
    open("a");
    open("b");
    CHECK(wait_served(2));
    client.reset();
    CHECK(run_until(io, [&] { return gone == 2; }));
    LONGS_EQUAL(0, server->open_streams());
}

// Guards against a peer that is gone being reported as possibly reached, and
// against connects in a tight loop.
TEST(peer_link, refused_connection_is_not_sent_and_backs_off)
{
    raw_server listener(io);
    port = listener.port();
    listener.close();
    client.emplace(io, peer_link_options{});
    for (int i = 0; i < 20; ++i) {
        auto const it = open("a");
        CHECK(wait_done(it));
        CHECK(it->failed && !it->failed->sent);
    }
    LONGS_EQUAL(20, client->counters().streams_failed);
}

// Guards against a drain that cuts off open streams or takes new ones.
TEST(peer_link, drain_finishes_open_streams)
{
    start();
    auto const a = open("a");
    CHECK(wait_served(1));
    server->drain();
    // The client may not know yet; either way the request did not run.
    auto const b = open("b");
    CHECK(wait_done(b));
    CHECK(b->failed && !b->failed->sent);
    CHECK(!a->done());
    served[0].responder->send("answer", true);
    CHECK(wait_done(a));
    CHECK(a->ended);
    LONGS_EQUAL(1, served.size());
}

// Guards against a request that reaches the listen queue of a draining host
// being reported as possibly run.
TEST(peer_link, drain_refuses_connections_that_the_kernel_has_accepted)
{
    start();
    auto const it = open("a");
    server->drain();
    CHECK(wait_done(it));
    CHECK(it->failed && !it->failed->sent);
    LONGS_EQUAL(0, served.size());
}

// Guards against a stream that a GOAWAY or a refusal leaves out being
// reported as possibly run.
TEST(peer_link, goaway_and_refusal_are_not_sent)
{
    for (auto const& frame : {goaway_frame, refused_frame}) {
        raw_server peer(io);
        port = peer.port();
        client.emplace(io, peer_link_options{});
        auto const it = open("a");
        CHECK(run_until(io, [&] {
            return !peer.peers.empty() && peer.peers[0]->has("\0\0\0\x01"
                                                             "a"s);
        }));
        peer.peers[0]->send(settings_frame + frame);
        CHECK(wait_done(it));
        CHECK(it->failed && !it->failed->sent);
        client.reset();
    }
}

// Guards against a reset, a close or bytes that are not HTTP/2 taken for the
// end of the answer.
TEST(peer_link, broken_answers_fail_as_sent)
{
    for (auto const& bytes : {settings_frame + reset_frame, settings_frame,
                              "HTTP/1.1 400 Bad Request\r\n\r\n"s}) {
        raw_server peer(io);
        port = peer.port();
        client.emplace(io, peer_link_options{});
        auto const it = open("a");
        CHECK(run_until(io, [&] {
            return !peer.peers.empty() && peer.peers[0]->has("\0\0\0\x01"
                                                             "a"s);
        }));
        peer.peers[0]->send(bytes);
        peer.peers[0]->half_close();
        CHECK(wait_done(it));
        CHECK(it->failed && it->failed->sent);
        client.reset();
    }
}

// Guards against streams that wait for ever on a peer that vanished without
// closing its connection.
TEST(peer_link, silent_peer_is_given_up)
{
    raw_server peer(io);
    port = peer.port();
    client.emplace(io, peer_link_options{});
    auto const it = open("a");
    CHECK(wait_done(it));
    CHECK(it->failed && it->failed->sent);
    CHECK(run_until(io, [&] { return peer.peers.at(0)->closed; }));
}

// Guards against an owner that hangs without being noticed before its
// connection is given up, and against one that is avoided for ever.
TEST(peer_link, silence_is_reported_and_ends_with_the_next_byte)
{
    raw_server peer(io);
    port = peer.port();
    client.emplace(io, peer_link_options{});
    std::vector<bool> reports;
    client->watch_silence([&](host_id const& id, bool silent) {
        CHECK(id.value == "h1");
        reports.push_back(silent);
    });
    auto const it = open("a");
    CHECK(run_until(io, [&] { return !reports.empty(); }));
    CHECK(reports.front());
    CHECK(!it->done());
    peer.peers.at(0)->send(settings_frame);
    CHECK(run_until(io, [&] { return reports.size() == 2; }));
    CHECK_FALSE(reports.back());
    CHECK(!it->done());
}

// Guards against a peer that stays marked as silent after it has returned,
// because nothing is sent to it any more.
TEST(peer_link, unreachable_peer_is_tried_until_it_answers)
{
    start();
    server.reset();
    std::vector<bool> reports;
    client->watch_silence(
        [&](host_id const&, bool silent) { reports.push_back(silent); });
    CHECK(wait_done(open("a")));
    CHECK(reports == std::vector<bool>{true});
    server.emplace(io, peer_link_options{.port = port},
                   [](peer_request const&) {});
    CHECK(run_until(io, [&] { return reports.size() == 2; }));
    CHECK_FALSE(reports.back());
    LONGS_EQUAL(0, server->open_streams());
}

// Guards against a client that sends garbage and ends the server.
TEST(peer_link, server_survives_bytes_that_are_not_http2)
{
    start();
    auto const raw = raw_peer::connect(io, port);
    raw->send("GET / HTTP/1.1\r\n\r\n" + std::string(1000, 'x'));
    CHECK(run_until(io, [&] { return raw->closed; }));
    LONGS_EQUAL(1, server->counters().protocol_errors);
    open("a");
    CHECK(wait_served(1));
}

// Guards against a request of which a part is missing reaching the handler.
TEST(peer_link, incomplete_request_is_reset)
{
    start();
    raw_peer::socket_type socket(io);
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    auto const session = std::make_shared<h2_session>(
        std::move(socket), h2_role::client, peer_link_options{},
        std::make_shared<peer_counters>(), h2_hooks{});
    session->start();
    auto const stream = std::make_shared<broken_request>();
    CHECK(session->request(stream, "/peer/query", "a"));
    CHECK(run_until(io, [&] { return stream->error.has_value(); }));
    LONGS_EQUAL(NGHTTP2_PROTOCOL_ERROR, *stream->error);
    LONGS_EQUAL(0, served.size());
    session->discard();
}

// Guards against unbounded memory for one message, in both directions.
TEST(peer_link, oversized_messages_are_refused)
{
    start({.max_message = 1000}, {.max_message = 100});
    auto const large = open(std::string(2000, 'x'));
    CHECK(wait_done(large));
    CHECK(large->failed && large->failed->sent);
    auto const request = open("a");
    CHECK(wait_served(1));
    served[0].responder->send(std::string(200, 'x'), true);
    CHECK(wait_done(request));
    CHECK(request->failed->reason == errc::peer_protocol);
}

// Guards against a root that waits for a handler that dropped the request.
TEST(peer_link, dropped_responder_resets_the_stream)
{
    start();
    auto const it = open("a");
    CHECK(wait_served(1));
    served.clear();
    CHECK(wait_done(it));
    CHECK(it->failed && it->failed->sent);
    LONGS_EQUAL(0, gone);
}

// Guards against a connection to an old address of a replaced host.
TEST(peer_link, forget_and_new_address)
{
    start();
    auto const a = open("a");
    CHECK(wait_served(1));
    client->forget(host_id("h1"));
    CHECK(!a->done());
    CHECK(wait_done(a));
    CHECK(a->failed && a->failed->sent);

    auto const b = open("b");
    CHECK(wait_served(2));
    peer_server second(io, {}, [](peer_request const& r) {
        r.responder->send("second", true);
    });
    port = second.port();
    auto const c = open("c");
    CHECK(wait_done(c));
    CHECK(c->messages.at(0) == "second");
    CHECK(wait_done(b));
}

// Guards against a stream and its callback that hold each other for good when
// the io_context does not run again after the end of the client.
TEST(peer_link, destruction_releases_streams_that_are_about_to_fail)
{
    start();
    std::weak_ptr<open_request> const forgotten = open("a", "h1");
    std::weak_ptr<open_request> const moved = open("b", "h2");
    CHECK(wait_served(2));
    raw_server listener(io);
    port = listener.port();
    listener.close();
    CHECK(wait_done(open("c", "h3")));
    std::weak_ptr<open_request> const refused = open("d", "h3");
    open("e", "h2"); // at another address
    client->forget(host_id("h1"));
    requests.clear();
    client.reset();
    CHECK(forgotten.expired());
    CHECK(moved.expired());
    CHECK(refused.expired());
}
