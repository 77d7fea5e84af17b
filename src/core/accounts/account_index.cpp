#include "core/accounts/account_index.hpp"

#include "core/base/hash.hpp"

namespace snipemill {

std::size_t account_index::seeded_hash::operator()(std::string_view key) const
{
    return hash_bytes(key, seed);
}

account_index::account_index(std::vector<client_account> const& accounts,
                             std::uint64_t seed)
    : keys_(0, seeded_hash{seed}), names_(0, seeded_hash{seed})
{
    for (auto const& it : accounts) {
        names_.emplace(it.name, &it);
        for (auto const& key : it.keys) {
            keys_.emplace(key, &it);
        }
    }
}

client_account const* account_index::find(std::string_view key) const
{
    auto const it = keys_.find(key);
    return it != keys_.end() ? it->second : nullptr;
}

client_account const* account_index::by_name(std::string_view name) const
{
    auto const it = names_.find(name);
    return it != names_.end() ? it->second : nullptr;
}

} // namespace snipemill
