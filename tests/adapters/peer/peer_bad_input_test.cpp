#include "adapters/peer/h2_session.hpp"
#include "peer_link_fixture.hpp"

#include <algorithm>

using namespace snipemill;
using namespace snipemill::test;
using namespace std::string_literals;

namespace {

std::string const reset_frame = "\0\0\x04\x03\0\0\0\0\x01\0\0\0\x02"s;

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

TEST_GROUP_BASE(peer_bad_input, peer_link_fixture){};

// Guards against a reset, a close or bytes that are not HTTP/2 taken for the
// end of the answer.
TEST(peer_bad_input, broken_answers_fail_as_sent)
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

// Guards against a client that sends garbage and ends the server.
TEST(peer_bad_input, server_survives_bytes_that_are_not_http2)
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
TEST(peer_bad_input, incomplete_request_is_reset)
{
    start();
    raw_peer::socket_type socket(io);
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    auto const session = std::make_shared<h2_session>(
        std::move(socket), h2_role::client, peer_link_options{},
        std::make_shared<peer_counters>(),
        std::make_shared<receive_budget>(1000), h2_hooks{});
    session->start();
    auto const stream = std::make_shared<broken_request>();
    CHECK(session->request(stream, "/peer/query", "a"));
    CHECK(run_until(io, [&] { return stream->error.has_value(); }));
    LONGS_EQUAL(NGHTTP2_PROTOCOL_ERROR, *stream->error);
    LONGS_EQUAL(0, served.size());
    session->discard();
}

// Guards against unbounded memory for one message, in both directions.
TEST(peer_bad_input, oversized_messages_are_refused)
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

// A message of which only a part is sent.
class unfinished_request : public broken_request
{
public:
    explicit unfinished_request(std::size_t n)
    {
        out = "\0\x0f\0\0"s + std::string(n, 'x');
        out_end = false;
    }
};

// Guards against a host that opens many streams and sends a part of a message
// on each: each is small enough, together they use up the memory.
TEST(peer_bad_input, bounds_the_memory_of_all_incomplete_messages)
{
    start({.max_message = 1'000'000, .max_received = 100'000});
    raw_peer::socket_type socket(io);
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    auto const session = std::make_shared<h2_session>(
        std::move(socket), h2_role::client, peer_link_options{},
        std::make_shared<peer_counters>(),
        std::make_shared<receive_budget>(1000), h2_hooks{});
    session->start();
    std::vector<std::shared_ptr<unfinished_request>> streams;
    for (int i = 0; i < 10; ++i) {
        streams.push_back(std::make_shared<unfinished_request>(30'000));
        CHECK(session->request(streams.back(), "/peer/query", "a"));
    }
    auto const reset = [&] {
        return std::count_if(
            streams.begin(), streams.end(),
            [](auto const& it) { return it->error.has_value(); });
    };
    CHECK(run_until(io, [&] { return reset() >= 7; }));
    // Other hosts are served meanwhile.
    open("a");
    CHECK(wait_served(1));
    session->discard();
}
