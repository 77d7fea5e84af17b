#pragma once

#include "core/accounts/client_account.hpp"
#include "core/forward/relay_plan.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snipemill {

// The hosts that grant requests of one account to a host.
struct cap_grantors
{
    usage_cap cap;
    fleet_host owner;  // without a name: no host can be asked
    fleet_host deputy; // of the own data centre; without a name: none

    friend bool operator==(cap_grantors const&, cap_grantors const&) = default;
};

// Owner and deputies of each account that has a limit. Every host computes the
// same from the same list of hosts, by rendezvous hashing: when a host joins or
// leaves, only the accounts that it takes or had change their owner.
class cap_plan
{
public:
    cap_plan() = default;
    // The deputy is the first host of the data centre besides the owner, so
    // that an account does not lose both at once.
    cap_plan(std::vector<fleet_host> const& hosts,
             std::string const& own_data_centre,
             std::vector<client_account> const& accounts);

    // Null when the account has no limit.
    cap_grantors const* find(std::string const& account) const;
    std::unordered_map<std::string, cap_grantors> const& all() const
    {
        return grantors_;
    }
    std::size_t data_centres() const { return data_centres_; }

    friend bool operator==(cap_plan const&, cap_plan const&) = default;

private:
    std::unordered_map<std::string, cap_grantors> grantors_;
    std::size_t data_centres_ = 1;
};

} // namespace snipemill
