#pragma once

#include "adapters/codec/host_codec.hpp"
#include "adapters/net/datagram_socket.hpp"
#include "core/forward/relay_plan.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace snipemill {

// Exchanges datagrams with other hosts on the port on which hosts take queries
// of one another.
class host_link
{
public:
    // Throws boost::system::system_error when the address cannot be used.
    host_link(boost::asio::io_context& io, std::string const& ip,
              std::uint16_t port,
              std::function<void(host_message const&)> receive);

    void send(fleet_host const& to, host_message const& message);
    // Only while a message is received: sends to its sender, also when the list
    // of hosts does not have the sender yet.
    void reply(host_message const& message);
    std::uint64_t malformed() const { return malformed_; }

private:
    std::function<void(host_message const&)> receive_;
    std::uint64_t malformed_ = 0;
    datagram_socket socket_;
};

} // namespace snipemill
