#include "core/config/upstream_address.hpp"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>
#include <string>

namespace snipemill {

namespace {

bool is_port(std::string_view text)
{
    std::uint32_t port = 0;
    auto const end = text.data() + text.size();
    auto const [stop, ec] = std::from_chars(text.data(), end, port);
    return ec == std::errc() && stop == end && port > 0 && port <= 65'535;
}

bool is_ip(std::string const& text, int family)
{
    in6_addr buf{};
    return inet_pton(family, text.c_str(), &buf) == 1;
}

} // namespace

bool is_upstream_address(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos || !is_port(text.substr(colon + 1))) {
        return false;
    }
    auto const host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        return is_ip(std::string(host.substr(1, host.size() - 2)), AF_INET6);
    }
    return is_ip(std::string(host), AF_INET);
}

} // namespace snipemill
