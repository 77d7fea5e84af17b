#include "core/accounts/cap_plan.hpp"

#include "core/base/hash.hpp"

#include <algorithm>
#include <cstdint>
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
    for (auto const& it : hosts) {
        if (it.relay_port != 0) {
            hosts_.push_back(it);
            ++hosts_of_[it.data_centre];
        }
    }
    data_centres_ = std::max<std::size_t>(1, hosts_of_.size());
    for (auto const& account : accounts) {
        if (!account.cap.limited()) {
            continue;
        }
        auto const seed = hash_bytes(account.name);
        auto const first = [&](auto accept) {
            fleet_host const* best = nullptr;
            for (auto const& it : hosts_) {
                if (accept(it) &&
                    (!best || rank(seed, it) > rank(seed, *best))) {
                    best = &it;
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

std::vector<cap_deputy> cap_plan::deputies(std::string const& account) const
{
    auto const* const grantors = find(account);
    if (!grantors) {
        return {};
    }
    auto const seed = hash_bytes(account);
    std::map<std::string_view, fleet_host const*> best;
    for (auto const& it : hosts_) {
        auto& first = best[it.data_centre];
        if (it.name != grantors->owner.name &&
            (!first || rank(seed, it) > rank(seed, *first))) {
            first = &it;
        }
    }
    std::vector<cap_deputy> out;
    for (auto const& [centre, host] : best) {
        if (host) {
            out.push_back(
                {.host = *host,
                 .share = share_of(host->data_centre, grantors->owner)});
        }
    }
    return out;
}

double cap_plan::share_of(std::string const& data_centre,
                          fleet_host const& owner) const
{
    auto const it = hosts_of_.find(data_centre);
    auto const n = it != hosts_of_.end() ? it->second : 0;
    auto const own = std::size_t{owner.data_centre == data_centre};
    return n > own ? static_cast<double>(n - own) /
                         static_cast<double>(hosts_.size())
                   : 0;
}

} // namespace snipemill
