#pragma once

#include "core/forward/store_freshness.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace snipemill {

// A floor on its way between hosts.
struct floor_message
{
    store_floor floor;
    bool pass_on = false; // to the receiver's data centre
};

std::string encode(floor_message const& message);
// No value when the bytes are malformed or a field is out of range.
std::optional<floor_message> decode_floor(std::string_view bytes);

} // namespace snipemill
