#include "adapters/peer/probe_socket.hpp"
#include "support/raw_peer.hpp"

#include <boost/asio/ip/udp.hpp>

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::test;
using boost::asio::ip::udp;

namespace {

udp::endpoint any()
{
    return {boost::asio::ip::address_v4::loopback(), 0};
}

std::uint16_t free_port(boost::asio::io_context& io)
{
    return udp::socket(io, any()).local_endpoint().port();
}

} // namespace

TEST_GROUP(probe_socket)
{
    boost::asio::io_context io;
    std::vector<std::uint64_t> received;

    void teardown() override
    {
        io.restart();
        io.poll();
    }
    auto receiver()
    {
        return
            [this](probe_packet p) { received.push_back(p.message.sequence); };
    }
};

// Guards against datagrams that are lost inside the process or not counted,
// and against malformed ones that end the reading.
TEST(probe_socket, sends_receives_and_counts)
{
    auto const port = free_port(io);
    auto const now = [] { return time_point{}; };
    probe_socket a(io, "127.0.0.1", port, now, receiver());
    probe_socket b(io, "127.0.0.1", free_port(io), now, receiver());
    udp::socket raw(io, any());
    udp::endpoint const to(boost::asio::ip::address_v4::loopback(), port);
    raw.send_to(boost::asio::buffer("nonsense", 8), to);
    raw.send_to(boost::asio::buffer("", 0), to);
    b.send("127.0.0.1", port, {.message = {.sequence = 17}});
    CHECK(run_until(io, [&] { return received.size() == 1; }));
    CHECK(received[0] == 17);
    LONGS_EQUAL(2, a.malformed());
    LONGS_EQUAL(6, b.bytes_sent());
    LONGS_EQUAL(14, a.bytes_received());
}

// Guards against a socket that stops reading because a peer's port is closed
// and the kernel reports the refused datagram.
TEST(probe_socket, survives_closed_ports_and_bad_addresses)
{
    auto const port = free_port(io);
    auto const now = [] { return time_point{}; };
    probe_socket a(io, "127.0.0.1", port, now, receiver());
    a.send("127.0.0.1", free_port(io), {});
    a.send("not an address", 1, {});
    a.send("127.0.0.1", port, {.message = {.sequence = 4}});
    CHECK(run_until(io, [&] { return received.size() == 1; }));
}
