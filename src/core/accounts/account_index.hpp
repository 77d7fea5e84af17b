#pragma once

#include "core/accounts/client_account.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snipemill {

// Finds the account that holds a key, in constant time whatever the number of
// accounts and keys. The accounts must outlive the index.
class account_index
{
public:
    // The seed keeps callers from choosing keys that collide.
    account_index(std::vector<client_account> const& accounts,
                  std::uint64_t seed);

    // Null when no account holds the key.
    client_account const* find(std::string_view key) const;
    // Null when there is no account of this name.
    client_account const* by_name(std::string_view name) const;
    std::size_t size() const { return names_.size(); }

private:
    struct seeded_hash
    {
        std::uint64_t seed = 0;
        std::size_t operator()(std::string_view key) const;
    };
    using table = std::unordered_map<std::string_view, client_account const*,
                                     seeded_hash>;

    table keys_;
    table names_;
};

} // namespace snipemill
