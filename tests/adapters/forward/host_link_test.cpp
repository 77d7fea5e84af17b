#include "adapters/forward/host_link.hpp"
#include "support/raw_peer.hpp"

#include <boost/asio/ip/udp.hpp>

#include <CppUTest/TestHarness.h>

#include <variant>
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

TEST_GROUP(host_link)
{
    boost::asio::io_context io;
    std::uint16_t port = free_udp_port(io);
    std::vector<floor_message> received;
    host_link receiver{
        io, "127.0.0.1", port, [this](host_message const& it) {
            if (auto const* floor = std::get_if<floor_message>(&it)) {
                received.push_back(*floor);
                return;
            }
            receiver.reply(cap_grant{
                .account = "acme", .host = "owner", .number = 7, .granted = 2});
        }};
    datagram_socket sender{io, "127.0.0.1", free_udp_port(io),
                           [](std::string_view) {}};
};

// Guards against datagrams of other programs that end the exchange of
// messages.
TEST(host_link, skips_what_is_no_message)
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
TEST(host_link, survives_a_receiver_that_is_gone)
{
    host_link other{io, "127.0.0.1", free_udp_port(io),
                    [](host_message const&) {}};
    fleet_host const gone{.ip = "127.0.0.1", .relay_port = free_udp_port(io)};
    for (int i = 0; i < 3; ++i) {
        other.send(gone, floor_message{.floor = {.revision = 7}});
        other.send({.ip = "127.0.0.1", .relay_port = port},
                   floor_message{.floor = {.revision = 7}});
        CHECK(run_until(io, [&] { return received.size() == i + 1U; }));
    }
}

// Guards against a cap request that gets no response because the owner does not
// know the sender's address from the store yet.
TEST(host_link, replies_to_a_sender_that_it_does_not_know)
{
    std::vector<cap_grant> grants;
    host_link asking{io, "127.0.0.1", free_udp_port(io),
                     [&](host_message const& it) {
                         grants.push_back(std::get<cap_grant>(it));
                     }};
    asking.send(
        {.ip = "127.0.0.1", .relay_port = port},
        cap_request{
            .account = "acme", .host = "host-3", .number = 7, .wanted = 2});
    CHECK(run_until(io, [&] { return grants.size() == 1; }));
    UNSIGNED_LONGS_EQUAL(7, grants[0].number);
    UNSIGNED_LONGS_EQUAL(2, grants[0].granted);
}
