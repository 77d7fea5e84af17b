#include "adapters/net/accept_loop.hpp"
#include "support/raw_peer.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::test;

TEST_GROUP(accept_loop)
{
    boost::asio::io_context io;
    std::shared_ptr<accept_loop> loop =
        std::make_shared<accept_loop>(io, "127.0.0.1", 0, false);
    int accepted = 0;

    void start()
    {
        loop->start([this](boost::asio::ip::tcp::socket) { ++accepted; });
    }
    void connect(int n)
    {
        for (int i = 0; i < n; ++i) {
            peers.push_back(raw_peer::connect(io, loop->port()));
        }
    }
    void teardown() override
    {
        loop->stop();
        for (auto const& it : peers) {
            it->close();
        }
        io.restart();
        io.poll();
    }

    std::vector<std::shared_ptr<raw_peer>> peers;
};

// A planned stop under load: a connection has been accepted, but its handler
// has not run when the listening socket is closed. Guards against a reset of
// that connection.
TEST(accept_loop, a_drain_keeps_the_connection_being_accepted)
{
    connect(3);
    start(); // accepts the first of them; the handler is queued
    loop->drain();
    CHECK(run_until(io, [&] { return accepted == 3; }));
}

// Guards against connections passed to an owner that has stopped.
TEST(accept_loop, a_stop_passes_on_no_connection)
{
    connect(2);
    start();
    loop->stop();
    io.poll();
    LONGS_EQUAL(0, accepted);
}
