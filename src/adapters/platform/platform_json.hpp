#pragma once

#include "ports/platform_port.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipemill {

// Answers of the platform's object API; no value when malformed.
std::optional<platform_object> parse_object(std::string_view body);
std::optional<platform_listing> parse_listing(std::string_view body);
std::optional<std::vector<platform_host>> parse_hosts(std::string_view body);

// Percent-encodes a key or prefix as one path segment or query value.
std::string percent_encode(std::string_view text);

} // namespace snipemill
