#include "adapters/peer/probe_socket.hpp"

#include "adapters/codec/peer_codec.hpp"
#include "adapters/net/datagram_socket.hpp"

#include <string_view>
#include <utility>

namespace snipemill {

class probe_socket::impl
{
public:
    impl(boost::asio::io_context& io, std::string const& ip, std::uint16_t port,
         std::function<time_point()> now,
         std::function<void(probe_packet)> receive)
        : socket(io, ip, port,
                 [this](std::string_view bytes) { on_datagram(bytes); }),
          now_(std::move(now)), receive_(std::move(receive))
    {}

    void send(std::string const& ip, std::uint16_t port,
              probe_packet const& packet)
    {
        socket.send(ip, port, encode(now_(), packet));
    }

    std::uint64_t malformed = 0;
    datagram_socket socket;

private:
    void on_datagram(std::string_view bytes)
    {
        auto packet = decode_probe(now_(), bytes);
        // Every field of a message is optional on the wire, so that an empty
        // datagram decodes to a probe without a sender.
        if (!packet || packet->message.from.id.value.empty()) {
            ++malformed;
            return;
        }
        receive_(std::move(*packet));
    }

    std::function<time_point()> now_;
    std::function<void(probe_packet)> receive_;
};

probe_socket::probe_socket(boost::asio::io_context& io, std::string const& ip,
                           std::uint16_t port, std::function<time_point()> now,
                           std::function<void(probe_packet)> receive)
    : impl_(std::make_unique<impl>(io, ip, port, std::move(now),
                                   std::move(receive)))
{}

probe_socket::~probe_socket() = default;

void probe_socket::send(std::string const& ip, std::uint16_t port,
                        probe_packet const& packet)
{
    impl_->send(ip, port, packet);
}

std::uint64_t probe_socket::bytes_sent() const
{
    return impl_->socket.bytes_sent();
}

std::uint64_t probe_socket::bytes_received() const
{
    return impl_->socket.bytes_received();
}

std::uint64_t probe_socket::malformed() const
{
    return impl_->malformed;
}

} // namespace snipemill
