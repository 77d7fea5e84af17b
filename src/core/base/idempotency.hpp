#pragma once

#include "core/base/name_table.hpp"

#include <cstdint>

namespace snipemill {

// Whether a request may run more than once.
enum class idempotency : std::uint8_t
{
    idempotent,
    at_most_once
};

inline constexpr name_table<idempotency, 2> idempotency_names{{
    {idempotency::idempotent, "idempotent"},
    {idempotency::at_most_once, "at_most_once"},
}};

} // namespace snipemill
