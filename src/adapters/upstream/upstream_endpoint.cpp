#include "adapters/upstream/upstream_endpoint.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <cstdint>
#include <string>

namespace snipemill {

std::optional<boost::asio::ip::tcp::endpoint>
parse_endpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    auto const digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    auto const* const end = digits.data() + digits.size();
    auto const [at, fault] = std::from_chars(digits.data(), end, port);
    if (fault != std::errc() || at != end || port == 0) {
        return std::nullopt;
    }
    boost::system::error_code ec;
    auto const address = boost::asio::ip::make_address(std::string(ip), ec);
    if (ec) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

} // namespace snipemill
