#include "core/forward/gather_index.hpp"

#include "core/base/hash.hpp"
#include "core/base/overloaded.hpp"

#include <cmath>

namespace snipemill {

namespace {

// Shares are hashed as integers, with six decimals.
constexpr double share_scale = 1e6;

std::uint64_t hash_route(forward_route const& route,
                         gather_target const& target)
{
    auto out = hash_bytes(route.host);
    out = hash_bytes(route.path_prefix, out);
    auto const share = std::llround(target.min_share * share_scale);
    for (auto const value :
         {static_cast<std::uint64_t>(route.kind),
          static_cast<std::uint64_t>(route.timeout.count()),
          static_cast<std::uint64_t>(route.objective.count()),
          std::uint64_t{route.attempts}, std::uint64_t{target.top},
          std::uint64_t{target.record_bytes},
          static_cast<std::uint64_t>(share)}) {
        out = hash_combine(out, value);
    }
    for (auto const& it : target.shards) {
        out = hash_bytes(it, out);
    }
    return out;
}

} // namespace

gather_index::gather_index(manifest const& from)
{
    for (auto const& it : from.routes) {
        std::visit(overloaded{[&](single_target const& to) {
                                  single_services_.insert(to.service);
                              },
                              [&](weighted_target const& to) {
                                  for (auto const& part : to.services) {
                                      single_services_.insert(part.service);
                                  }
                              },
                              [&](gather_target const& to) {
                                  routes_[it.name] = {.route = &it,
                                                      .fingerprint =
                                                          hash_route(it, to)};
                              }},
                   it.target);
    }
}

forward_route const* gather_index::find(std::string_view name,
                                        std::uint64_t fingerprint) const
{
    auto const it = routes_.find(name);
    return fingerprint != 0 && it != routes_.end() &&
                   it->second.fingerprint == fingerprint
               ? it->second.route
               : nullptr;
}

std::uint64_t gather_index::fingerprint(forward_route const& route) const
{
    auto const it = routes_.find(route.name);
    // Only the last of two gather routes with the same name is in the index.
    return it != routes_.end() && it->second.route == &route
               ? it->second.fingerprint
               : 0;
}

} // namespace snipemill
