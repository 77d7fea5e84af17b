#include "adapters/codec/peer_codec.hpp"
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

probe_packet packet(std::uint64_t sequence)
{
    return {.time = {.wall = 5, .counter = 6},
            .message = {.sequence = sequence,
                        .from = {.id = host_id("a"),
                                 .data_centre = "west",
                                 .ip = "127.0.0.1",
                                 .peer_port = 7000,
                                 .operator_port = 7001,
                                 .incarnation = 3},
                        .config_number = 12}};
}

} // namespace

TEST_GROUP(probe_socket)
{
    boost::asio::io_context io;
    std::vector<probe_packet> received;

    void teardown() override
    {
        io.restart();
        io.poll();
    }
    auto receiver()
    {
        return [this](probe_packet p) { received.push_back(std::move(p)); };
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
    b.send("127.0.0.1", port, packet(17));
    CHECK(run_until(io, [&] { return received.size() == 1; }));
    CHECK(received[0].time == packet(17).time);
    CHECK(received[0].message == packet(17).message);
    auto const size = encode(now(), packet(17)).size();
    LONGS_EQUAL(2, a.malformed());
    LONGS_EQUAL(size, b.bytes_sent());
    LONGS_EQUAL(8 + size, a.bytes_received());
}

// Guards against a socket that stops reading because a peer's port is closed
// and the kernel reports the refused datagram.
TEST(probe_socket, survives_closed_ports_and_bad_addresses)
{
    auto const port = free_port(io);
    auto const now = [] { return time_point{}; };
    probe_socket a(io, "127.0.0.1", port, now, receiver());
    a.send("127.0.0.1", free_port(io), packet(2));
    a.send("not an address", 1, packet(3));
    a.send("127.0.0.1", port, packet(4));
    CHECK(run_until(io, [&] { return received.size() == 1; }));
    LONGS_EQUAL(4, received[0].message.sequence);
}
