#pragma once

#include "core/forward/manifest.hpp"

#include <string_view>
#include <unordered_map>

namespace snipemill {

// Finds the route of a request: the one of the host with the longest path
// prefix. The manifest must outlive the index.
class route_index
{
public:
    explicit route_index(manifest const& from);

    // path is without the query string. Null when no route matches.
    forward_route const* find(std::string_view host,
                              std::string_view path) const;

private:
    using by_prefix =
        std::unordered_map<std::string_view, forward_route const*>;

    std::unordered_map<std::string_view, by_prefix> hosts_;
};

} // namespace snipemill
