#include "adapters/net/datagram_socket.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstddef>
#include <utility>

namespace snipemill {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr std::size_t max_datagram = 64 * 1024;

} // namespace

class datagram_socket::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context& io, std::string const& ip, std::uint16_t port,
         receive_callback receive)
        : socket_(io, udp::endpoint(asio::ip::make_address(ip), port)),
          receive_(std::move(receive))
    {
        socket_.non_blocking(true);
    }

    void read()
    {
        socket_.async_receive_from(
            asio::buffer(input_), from_,
            [self = shared_from_this()](boost::system::error_code ec,
                                        std::size_t n) {
                self->on_read(ec, n);
            });
    }

    void send(std::string const& ip, std::uint16_t port, std::string_view bytes)
    {
        boost::system::error_code ec;
        auto const address = asio::ip::make_address(ip, ec);
        if (ec || closed_) {
            return;
        }
        send_to({address, port}, bytes);
    }

    void reply(std::string_view bytes)
    {
        if (!closed_) {
            send_to(from_, bytes);
        }
    }

    void stop()
    {
        closed_ = true;
        boost::system::error_code ignored;
        socket_.close(ignored);
    }

    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;

private:
    void send_to(udp::endpoint const& to, std::string_view bytes)
    {
        boost::system::error_code ec;
        bytes_sent += socket_.send_to(asio::buffer(bytes), to, 0, ec);
    }

    void on_read(boost::system::error_code ec, std::size_t n)
    {
        if (closed_ || ec == asio::error::operation_aborted) {
            return;
        }
        // Other errors report that an earlier datagram found no receiver.
        if (!ec) {
            bytes_received += n;
            receive_({input_.data(), n});
        }
        if (!closed_) {
            read();
        }
    }

    udp::socket socket_;
    udp::endpoint from_;
    receive_callback receive_;
    std::array<char, max_datagram> input_;
    bool closed_ = false;
};

datagram_socket::datagram_socket(asio::io_context& io, std::string const& ip,
                                 std::uint16_t port, receive_callback receive)
    : impl_(std::make_shared<impl>(io, ip, port, std::move(receive)))
{
    impl_->read();
}

datagram_socket::~datagram_socket()
{
    impl_->stop();
}

void datagram_socket::send(std::string const& ip, std::uint16_t port,
                           std::string_view bytes)
{
    impl_->send(ip, port, bytes);
}

void datagram_socket::reply(std::string_view bytes)
{
    impl_->reply(bytes);
}

std::uint64_t datagram_socket::bytes_sent() const
{
    return impl_->bytes_sent;
}

std::uint64_t datagram_socket::bytes_received() const
{
    return impl_->bytes_received;
}

} // namespace snipemill
