#pragma once

#include <string_view>

namespace snipemill {

// Version of the program, as in "0.1.0".
std::string_view version();

} // namespace snipemill
