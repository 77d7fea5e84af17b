#include "core/accounts/cap_plan.hpp"

#include "core/base/hash.hpp"

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

namespace snipemill {

namespace {

// Order of the hosts for an account; the highest comes first.
std::pair<std::uint64_t, std::string_view> rank(std::uint64_t seed,
                                                fleet_host const& it)
{
    return {hash_bytes(it.name, seed), it.name};
}

} // namespace

cap_plan::cap_plan(std::vector<fleet_host> const& hosts,
                   std::string const& own_data_centre,
                   std::vector<client_account> const& accounts)
{
    std::vector<fleet_host const*> usable;
    std::set<std::string_view> centres;
    for (auto const& it : hosts) {
        if (it.relay_port != 0) {
            usable.push_back(&it);
            centres.insert(it.data_centre);
        }
    }
    data_centres_ = std::max<std::size_t>(1, centres.size());
    for (auto const& account : accounts) {
        if (!account.cap.limited()) {
            continue;
        }
        auto const seed = hash_bytes(account.name);
        auto const first = [&](auto accept) {
            fleet_host const* best = nullptr;
            for (auto const* it : usable) {
                if (accept(*it) &&
                    (!best || rank(seed, *it) > rank(seed, *best))) {
                    best = it;
                }
            }
            return best;
        };
        auto const* const owner = first([](auto const&) { return true; });
        auto const* const deputy = first([&](fleet_host const& it) {
            return &it != owner && it.data_centre == own_data_centre;
        });
        auto& out = grantors_[account.name];
        out.cap = account.cap;
        out.owner = owner ? *owner : fleet_host();
        out.deputy = deputy ? *deputy : fleet_host();
    }
}

cap_grantors const* cap_plan::find(std::string const& account) const
{
    auto const it = grantors_.find(account);
    return it != grantors_.end() ? &it->second : nullptr;
}

} // namespace snipemill
