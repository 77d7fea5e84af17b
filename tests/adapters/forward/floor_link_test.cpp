#include "adapters/forward/floor_link.hpp"
#include "support/raw_peer.hpp"

#include <boost/asio/ip/udp.hpp>

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace snipemill;
using namespace snipemill::test;

namespace {

std::uint16_t free_udp_port(boost::asio::io_context& io)
{
    using boost::asio::ip::udp;
    udp::socket probe(io, {boost::asio::ip::address_v4::loopback(), 0});
    return probe.local_endpoint().port();
}

} // namespace

TEST_GROUP(floor_link)
{
    boost::asio::io_context io;
    std::uint16_t port = free_udp_port(io);
    std::vector<floor_message> received;
    floor_link receiver{io, "127.0.0.1", port, [this](floor_message const& it) {
                            received.push_back(it);
                        }};
    datagram_socket sender{io, "127.0.0.1", free_udp_port(io),
                           [](std::string_view) {}};
};

// Guards against datagrams of other programs that end the exchange of floors.
TEST(floor_link, skips_what_is_no_floor)
{
    sender.send("127.0.0.1", port, "nonsense");
    sender.send("127.0.0.1", port, "");
    sender.send("127.0.0.1", port,
                encode(floor_message{.floor = {.revision = 7}}));
    CHECK(run_until(io, [&] { return received.size() == 1; }));
    UNSIGNED_LONGS_EQUAL(7, received[0].floor.revision);
    UNSIGNED_LONGS_EQUAL(2, receiver.malformed());
}

// Guards against a host that stops receiving because another one has ended.
TEST(floor_link, survives_a_receiver_that_is_gone)
{
    floor_link other{io, "127.0.0.1", free_udp_port(io),
                     [](floor_message const&) {}};
    fleet_host const gone{.ip = "127.0.0.1", .relay_port = free_udp_port(io)};
    for (int i = 0; i < 3; ++i) {
        other.send(gone, {.floor = {.revision = 7}});
        other.send({.ip = "127.0.0.1", .relay_port = port},
                   {.floor = {.revision = 7}});
        CHECK(run_until(io, [&] { return received.size() == i + 1U; }));
    }
}
