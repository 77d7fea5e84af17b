#pragma once

#include "core/forward/manifest.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace snipemill {

// The gather routes of a manifest, by name. Hosts with different manifests
// agree on a route when its content is the same. The manifest must outlive the
// index.
class gather_index
{
public:
    explicit gather_index(manifest const& from);

    // The route with this name and content, or null.
    forward_route const* find(std::string_view name,
                              std::uint64_t fingerprint) const;
    // Hash of the content of a route of this manifest, the same on every host;
    // 0 for a route that is not in the index.
    std::uint64_t fingerprint(forward_route const& route) const;
    // The services of routes that are not gather routes.
    std::set<std::string> const& single_services() const
    {
        return single_services_;
    }

private:
    struct entry
    {
        forward_route const* route = nullptr;
        std::uint64_t fingerprint = 0;
    };

    std::unordered_map<std::string_view, entry> routes_;
    std::set<std::string> single_services_;
};

} // namespace snipemill
