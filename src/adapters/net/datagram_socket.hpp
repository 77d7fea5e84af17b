#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace snipemill {

// Sends and receives UDP datagrams. Throws boost::system::system_error when the
// address cannot be used.
class datagram_socket
{
public:
    using receive_callback = std::function<void(std::string_view)>;

    datagram_socket(boost::asio::io_context& io, std::string const& ip,
                    std::uint16_t port, receive_callback receive);
    ~datagram_socket();
    datagram_socket(datagram_socket const&) = delete;
    datagram_socket& operator=(datagram_socket const&) = delete;

    // A datagram that the socket does not take now is dropped, like one that
    // the network loses.
    void send(std::string const& ip, std::uint16_t port,
              std::string_view bytes);
    // Only within the callback: sends to the sender of the received datagram.
    void reply(std::string_view bytes);
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace snipemill
