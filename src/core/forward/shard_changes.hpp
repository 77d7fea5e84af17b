#pragma once

#include "core/forward/manifest.hpp"

#include <string>
#include <vector>

namespace snipemill {

// Names of the gather routes of `after` that had other shards in `before`.
std::vector<std::string> routes_with_other_shards(manifest const& before,
                                                  manifest const& after);

} // namespace snipemill
