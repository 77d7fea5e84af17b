#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace snipemill {

// Opens, binds and listens; throws boost::system::system_error. Port 0 takes
// any free port. With reuse_port several sockets can listen on one port.
void listen_on(boost::asio::ip::tcp::acceptor& acceptor, std::string const& ip,
               std::uint16_t port, bool reuse_port);

} // namespace snipemill
