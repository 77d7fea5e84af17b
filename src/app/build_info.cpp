#include "app/build_info.hpp"

namespace snipemill {

std::string_view version()
{
    return SNIPEMILL_VERSION;
}

} // namespace snipemill
