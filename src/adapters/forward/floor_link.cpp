#include "adapters/forward/floor_link.hpp"

#include <string_view>
#include <utility>

namespace snipemill {

floor_link::floor_link(boost::asio::io_context& io, std::string const& ip,
                       std::uint16_t port,
                       std::function<void(floor_message const&)> receive)
    : receive_(std::move(receive)),
      socket_(io, ip, port, [this](std::string_view bytes) {
          if (auto const message = decode_floor(bytes)) {
              receive_(*message);
              return;
          }
          ++malformed_;
      })
{}

void floor_link::send(fleet_host const& to, floor_message const& message)
{
    socket_.send(to.ip, to.relay_port, encode(message));
}

} // namespace snipemill
