#pragma once

#include <string_view>

namespace snipemill {

// Whether the text is the address of an upstream: "1.2.3.4:80" or "[::1]:80".
bool is_upstream_address(std::string_view text);

} // namespace snipemill
