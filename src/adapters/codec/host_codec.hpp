#pragma once

#include "core/accounts/cap_messages.hpp"
#include "core/forward/store_freshness.hpp"
#include "core/rollouts/rollout_messages.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace snipemill {

// A floor on its way between hosts.
struct floor_message
{
    store_floor floor;
    bool pass_on = false; // to the receiver's data centre
};

// A datagram between hosts.
using host_message = std::variant<floor_message, cap_request, cap_grant,
                                  rollout_report, rollout_instruction>;

std::string encode(host_message const& message);
// No value when the bytes are malformed or a field is out of range.
std::optional<host_message> decode_host_message(std::string_view bytes);

} // namespace snipemill
