#include "peer_link_fixture.hpp"

#include <algorithm>

using namespace snipemill;
using namespace snipemill::test;

TEST_GROUP_BASE(peer_streams, peer_link_fixture){};

// Guards against lost, joined or reordered messages.
TEST(peer_streams, passes_a_request_and_a_sequence_of_answers)
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
TEST(peer_streams, counts_connections_with_control_paths_apart)
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
TEST(peer_streams, passes_messages_larger_than_the_window)
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
TEST(peer_streams, thousands_of_streams_above_the_limit)
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
TEST(peer_streams, cancel_resets_the_stream)
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
TEST(peer_streams, cancel_before_the_connection_is_made)
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
TEST(peer_streams, many_cancels_do_not_close_the_connection)
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
