#pragma once

#include "core/accounts/client_account.hpp"
#include "core/forward/relay_plan.hpp"

#include <cstddef>
#include <map>
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

// The deputy of a data centre, and the part of an account's rate that it grants
// while it cannot reach the owner: its hosts without the owner / all hosts.
struct cap_deputy
{
    fleet_host host;
    double share = 0;

    friend bool operator==(cap_deputy const&, cap_deputy const&) = default;
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
    // The deputies of all data centres. Computed anew at each call, because a
    // host needs them only for the accounts that it owns.
    std::vector<cap_deputy> deputies(std::string const& account) const;
    double share_of(std::string const& data_centre,
                    fleet_host const& owner) const;

    friend bool operator==(cap_plan const&, cap_plan const&) = default;

private:
    std::unordered_map<std::string, cap_grantors> grantors_;
    std::size_t data_centres_ = 1;
    std::vector<fleet_host> hosts_;               // that can be asked
    std::map<std::string, std::size_t> hosts_of_; // by data centre
};

} // namespace snipemill
