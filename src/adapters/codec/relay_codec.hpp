#pragma once

#include "core/forward/relay_call.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace snipemill {

// Encoding of calls to relays. Decoding returns no value when the bytes are
// malformed or a field is out of range.
std::string encode(relay_query const& query);
std::optional<relay_query> decode_relay_query(std::string_view bytes);

// relay_lost has no encoding: it is what the loss of a stream means.
std::string encode(relay_accepted const& event);
std::string encode(relay_refused const& event);
std::string encode(relay_answer const& event);
std::optional<relay_event> decode_relay_event(std::string_view bytes);

} // namespace snipemill
