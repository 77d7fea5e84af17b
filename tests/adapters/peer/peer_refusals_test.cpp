#include "peer_link_fixture.hpp"

using namespace snipemill;
using namespace snipemill::test;
using namespace std::string_literals;

namespace {

std::string const goaway_frame = "\0\0\x08\x07\0\0\0\0\0\0\0\0\0\0\0\0\0"s;
std::string const refused_frame = "\0\0\x04\x03\0\0\0\0\x01\0\0\0\x07"s;

} // namespace

TEST_GROUP_BASE(peer_refusals, peer_link_fixture){};

// Guards against a drain that cuts off open streams or takes new ones.
TEST(peer_refusals, drain_finishes_open_streams)
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
TEST(peer_refusals, drain_refuses_connections_that_the_kernel_has_accepted)
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
TEST(peer_refusals, goaway_and_refusal_are_not_sent)
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

// Guards against a root that waits for a handler that dropped the request.
TEST(peer_refusals, dropped_responder_resets_the_stream)
{
    start();
    auto const it = open("a");
    CHECK(wait_served(1));
    served.clear();
    CHECK(wait_done(it));
    CHECK(it->failed && it->failed->sent);
    LONGS_EQUAL(0, gone);
}
