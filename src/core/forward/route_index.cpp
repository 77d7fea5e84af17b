#include "core/forward/route_index.hpp"

namespace snipemill {

route_index::route_index(manifest const& from)
{
    for (auto const& it : from.routes) {
        hosts_[it.host].emplace(it.path_prefix, &it);
    }
}

forward_route const* route_index::find(std::string_view host,
                                       std::string_view path) const
{
    auto const routes = hosts_.find(host);
    if (routes == hosts_.end()) {
        return nullptr;
    }
    // Every prefix ends with a slash, so only the slashes of the path are
    // tried.
    for (auto end = path.rfind('/'); end != std::string_view::npos;
         end = path.rfind('/', end - 1)) {
        auto const it = routes->second.find(path.substr(0, end + 1));
        if (it != routes->second.end()) {
            return it->second;
        }
        if (end == 0) {
            break;
        }
    }
    return nullptr;
}

} // namespace snipemill
