#pragma once

#include "core/forward/manifest.hpp"

#include <string_view>
#include <unordered_map>

namespace snipemill {

// Finds the route of a request: of the routes of its host, the one with the
// longest matching path prefix. The manifest must outlive the index.
class route_index
{
public:
    explicit route_index(manifest const& from);

    // `path` has no query string. Returns null when no route matches.
    forward_route const* find(std::string_view host,
                              std::string_view path) const;

private:
    using by_prefix =
        std::unordered_map<std::string_view, forward_route const*>;

    std::unordered_map<std::string_view, by_prefix> hosts_;
};

} // namespace snipemill
