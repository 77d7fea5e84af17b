#pragma once

#include "core/accounts/account_index.hpp"

#include <string_view>
#include <vector>

namespace snipemill {

// Who sent a request, as far as the manifest in force tells.
struct caller_identity
{
    // Whether the manifest has client accounts. Without them credentials are
    // passed on to upstreams like any other header.
    bool accounts_in_force = false;
    // Null when the request has no key of an account.
    client_account const* account = nullptr;
};

// Whether a request may go on to its route: on a public route always, on
// another one only with the key of an account.
bool is_authorised(caller_identity const& caller, bool public_route);

// Identifies the sender by the values of its Authorization headers. More than
// one value identifies nobody: host and upstream could choose different ones.
// `index` is null when the manifest has no client accounts.
caller_identity identify(account_index const* index,
                         std::vector<std::string_view> const& authorization);

} // namespace snipemill
