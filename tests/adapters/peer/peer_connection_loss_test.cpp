#include "peer_link_fixture.hpp"

using namespace snipemill;
using namespace snipemill::test;

TEST_GROUP_BASE(peer_connection_loss, peer_link_fixture){};

// Guards against a root that waits for an owner that has died, and against a
// second use of a broken connection.
TEST(peer_connection_loss, broken_connection_fails_all_streams)
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
TEST(peer_connection_loss, server_is_told_when_the_client_is_gone)
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
TEST(peer_connection_loss, refused_connection_is_not_sent_and_backs_off)
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

// Guards against streams that wait for ever on a peer that vanished without
// closing its connection.
TEST(peer_connection_loss, silent_peer_is_given_up)
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
TEST(peer_connection_loss, silence_is_reported_and_ends_with_the_next_byte)
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
TEST(peer_connection_loss, unreachable_peer_is_tried_until_it_answers)
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

// Guards against a connection to an old address of a replaced host.
TEST(peer_connection_loss, forget_and_new_address)
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
TEST(peer_connection_loss, destruction_releases_streams_that_are_about_to_fail)
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
