#pragma once

#include "core/base/error.hpp"

#include <string>

namespace snipemill {

// JSON body of an error response of the HTTP server itself.
std::string write_error_body(failure const& f);

} // namespace snipemill
