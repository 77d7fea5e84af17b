#pragma once

#include <cstdint>

namespace snipemill {

enum class status_kind : std::uint8_t
{
    interim, // a final response follows
    final_response,
    invalid
};

// No request asks for another protocol, so 101 is as wrong as a status that
// HTTP does not have.
constexpr status_kind kind_of_status(unsigned status)
{
    constexpr unsigned switching_protocols = 101;
    if (status < 100 || status > 599 || status == switching_protocols) {
        return status_kind::invalid;
    }
    return status < 200 ? status_kind::interim : status_kind::final_response;
}

} // namespace snipemill
