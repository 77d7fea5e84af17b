#include "adapters/peer/probe_socket.hpp"

#include "adapters/codec/peer_codec.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <string_view>
#include <utility>

namespace snipemill {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr std::size_t max_datagram = 64 * 1024;

} // namespace

class probe_socket::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context& io, std::string const& ip, std::uint16_t port,
         std::function<time_point()> now,
         std::function<void(probe_packet)> receive)
        : socket_(io, udp::endpoint(asio::ip::make_address(ip), port)),
          now_(std::move(now)), receive_(std::move(receive))
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

    // A datagram that the socket does not take now is dropped, like one that
    // the network loses.
    void send(std::string const& ip, std::uint16_t port,
              probe_packet const& packet)
    {
        boost::system::error_code ec;
        auto const address = asio::ip::make_address(ip, ec);
        if (ec || closed_) {
            return;
        }
        auto const bytes = encode(now_(), packet);
        bytes_sent +=
            socket_.send_to(asio::buffer(bytes), {address, port}, 0, ec);
    }

    void stop()
    {
        closed_ = true;
        boost::system::error_code ignored;
        socket_.close(ignored);
    }

    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t malformed = 0;

private:
    void on_read(boost::system::error_code ec, std::size_t n)
    {
        if (closed_ || ec == asio::error::operation_aborted) {
            return;
        }
        // Other errors report that an earlier datagram found no receiver.
        if (!ec) {
            on_datagram({input_.data(), n});
        }
        if (!closed_) {
            read();
        }
    }

    void on_datagram(std::string_view bytes)
    {
        bytes_received += bytes.size();
        auto packet = decode_probe(now_(), bytes);
        // Every field of a message is optional on the wire, so that an empty
        // datagram decodes to a probe without a sender.
        if (!packet || packet->message.from.id.value.empty()) {
            ++malformed;
            return;
        }
        receive_(std::move(*packet));
    }

    udp::socket socket_;
    udp::endpoint from_;
    std::function<time_point()> now_;
    std::function<void(probe_packet)> receive_;
    std::array<char, max_datagram> input_;
    bool closed_ = false;
};

probe_socket::probe_socket(asio::io_context& io, std::string const& ip,
                           std::uint16_t port, std::function<time_point()> now,
                           std::function<void(probe_packet)> receive)
    : impl_(std::make_shared<impl>(io, ip, port, std::move(now),
                                   std::move(receive)))
{
    impl_->read();
}

probe_socket::~probe_socket()
{
    impl_->stop();
}

void probe_socket::send(std::string const& ip, std::uint16_t port,
                        probe_packet const& packet)
{
    impl_->send(ip, port, packet);
}

std::uint64_t probe_socket::bytes_sent() const
{
    return impl_->bytes_sent;
}

std::uint64_t probe_socket::bytes_received() const
{
    return impl_->bytes_received;
}

std::uint64_t probe_socket::malformed() const
{
    return impl_->malformed;
}

} // namespace snipemill
