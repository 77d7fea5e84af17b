#pragma once

#include "fleet/upstream.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace standin {

// Service of the routes that are not gather routes.
inline constexpr char const* single_service = "single";

// A client account with one key.
struct account_state
{
    std::string name;
    std::string key;
    double rate = 0; // requests/s; 0: no limit
    double burst = 0;
};

// Content of one version of the manifest.
struct manifest_state
{
    std::uint64_t version = 0;
    std::set<std::string> shards;
    bool extra_route = false; // whether the route "/extra/" exists
    unsigned timeout_ms = 900;
    std::vector<account_state> accounts; // none: callers need no keys
};

// Objects that the operator and an upstream write into the store.
boost::json::object manifest_document(manifest_state const& from);
boost::json::object upstream_document(upstream_options const& from,
                                      std::string const& address,
                                      std::string const& data_centre,
                                      bool draining);
// Upstream entries that cannot be decoded.
boost::json::object entry_without_address();
boost::json::object entry_in_unknown_state();

} // namespace standin
