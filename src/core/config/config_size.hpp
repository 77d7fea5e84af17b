#pragma once

#include "core/config/config_store.hpp"

#include <cstddef>

namespace snipemill {

// Upper estimates of the size of stored JSON texts, in bytes. Texts that need
// much escaping may be larger.
std::size_t estimated_size(config_object const& object);
std::size_t estimated_size(ticket_summary const& summary);
std::size_t estimated_size(ticket const& change);
std::size_t estimated_size(config_snapshot const& state);

} // namespace snipemill
