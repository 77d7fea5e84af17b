#pragma once

#include "adapters/codec/floor_codec.hpp"
#include "adapters/net/datagram_socket.hpp"
#include "core/forward/relay_plan.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace snipemill {

// Exchanges floors of the store with other hosts, as datagrams to the port on
// which hosts take queries of one another.
class floor_link
{
public:
    // Throws boost::system::system_error when the address cannot be used.
    floor_link(boost::asio::io_context& io, std::string const& ip,
               std::uint16_t port,
               std::function<void(floor_message const&)> receive);

    void send(fleet_host const& to, floor_message const& message);
    std::uint64_t malformed() const { return malformed_; }

private:
    std::function<void(floor_message const&)> receive_;
    std::uint64_t malformed_ = 0;
    datagram_socket socket_;
};

} // namespace snipemill
