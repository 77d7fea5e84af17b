#include "fleet/fault_proxy.hpp"
#include "support/raw_peer.hpp"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace snipemill::test;

TEST_GROUP(fault_proxy){};

// An upstream of the soak ends while a connection to its proxy has been
// accepted, but not handled. Guards against use of the proxy after its end.
TEST(fault_proxy, may_end_while_a_connection_is_accepted)
{
    boost::asio::io_context io;
    raw_server server(io);
    std::optional<standin::fault_proxy> proxy;
    proxy.emplace(io,
                  boost::asio::ip::tcp::endpoint(
                      boost::asio::ip::address_v4::loopback(), server.port()));
    auto const first = raw_peer::connect(io, proxy->port());
    auto const second = raw_peer::connect(io, proxy->port());
    io.run_one(); // handles the first connection and accepts the second
    proxy.reset();
    CHECK(run_until(io, [&] { return first->closed && second->closed; }));
}
