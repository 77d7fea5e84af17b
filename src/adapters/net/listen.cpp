#include "adapters/net/listen.hpp"

#include <boost/asio/ip/address.hpp>

#include <sys/socket.h>

namespace snipemill {

namespace asio = boost::asio;

namespace {

using reuse_port_option =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

} // namespace

void listen_on(asio::ip::tcp::acceptor& acceptor, std::string const& ip,
               std::uint16_t port, bool reuse_port)
{
    asio::ip::tcp::endpoint const endpoint(asio::ip::make_address(ip), port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    if (reuse_port) {
        acceptor.set_option(reuse_port_option(true));
    }
    acceptor.bind(endpoint);
    acceptor.listen(asio::socket_base::max_listen_connections);
}

} // namespace snipemill
