#include "adapters/forward/host_link.hpp"

#include <string_view>
#include <utility>

namespace snipemill {

host_link::host_link(boost::asio::io_context& io, std::string const& ip,
                     std::uint16_t port,
                     std::function<void(host_message const&)> receive)
    : receive_(std::move(receive)),
      socket_(io, ip, port, [this](std::string_view bytes) {
          if (auto const message = decode_host_message(bytes)) {
              receive_(*message);
              return;
          }
          ++malformed_;
      })
{}

void host_link::send(fleet_host const& to, host_message const& message)
{
    socket_.send(to.ip, to.relay_port, encode(message));
}

void host_link::reply(host_message const& message)
{
    socket_.reply(encode(message));
}

} // namespace snipemill
