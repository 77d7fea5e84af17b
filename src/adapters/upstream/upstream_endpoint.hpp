#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace snipemill {

// Parses "ip:port" or "[ip]:port".
std::optional<boost::asio::ip::tcp::endpoint>
parse_endpoint(std::string_view text);

} // namespace snipemill
