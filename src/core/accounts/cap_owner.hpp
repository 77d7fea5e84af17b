#pragma once

#include "core/accounts/cap_messages.hpp"
#include "core/accounts/cap_plan.hpp"
#include "core/accounts/usage_bucket.hpp"
#include "core/accounts/usage_tolerance.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace snipemill {

struct cap_owner_settings
{
    std::string host; // this one
    usage_tolerance tolerance;
    // Time for which a new owner grants from the tolerance only, because the
    // previous one may still be granting.
    duration hold = from_ms(1500);
    // Idle accounts with full buckets are evicted after this time.
    duration idle = from_ms(60'000);
    // Time for which a response is repeated to the same request. Requests are
    // repeated once, after 30 ms.
    duration remember = from_ms(2000);
};

// Grants requests of accounts to hosts, as the owner of an account and as the
// deputy for the hosts of its data centre. Load pattern: accounts with caps of
// a few requests/s whose requests arrive at any of hundreds of hosts.
class cap_owner
{
public:
    explicit cap_owner(cap_owner_settings settings);

    // A role that this host did not have begins with a new bucket.
    void set_plan(cap_plan const& plan, time_point now);
    // The time until which other hosts are sure to have this host in their
    // lists. After it this host grants only from the tolerance, and another
    // owner may have followed: the next one begins with a new bucket.
    void set_listed_until(time_point at) { listed_until_ = at; }

    cap_grant respond(cap_request const& request, time_point now);

    std::size_t accounts() const { return accounts_.size(); }
    std::uint64_t granted_as_owner() const { return granted_as_owner_; }
    std::uint64_t granted_as_deputy() const { return granted_as_deputy_; }

private:
    // Since when this host has the roles of an account.
    struct roles
    {
        usage_cap cap;
        std::optional<time_point> owner;
        std::optional<time_point> deputy;
    };

    struct response
    {
        cap_grant grant;
        time_point at{};
    };

    struct account_state
    {
        std::optional<usage_bucket> bucket; // as owner
        double asked = 0;                   // requests, since the role began
        std::optional<usage_bucket> share;  // of the tolerance
        std::unordered_map<std::string, response> responses; // by host
        time_point used{};
    };

    cap_grant decide(cap_request const& request, roles const& role,
                     account_state& state, time_point now);
    cap_grant as_owner(cap_request const& request, roles const& role,
                       account_state& state, time_point now);
    cap_grant from_share(cap_request const& request, roles const& role,
                         account_state& state, time_point now);
    static duration contention(account_state const& state, time_point now);
    usage_bucket& share_of(roles const& role, account_state& state,
                           time_point now);
    bucket_shape owner_shape(usage_cap const& cap) const;
    bucket_shape share_shape(usage_cap const& cap) const;
    void renew_listing(time_point now);
    void evict(time_point now);

    cap_owner_settings settings_;
    std::size_t data_centres_ = 1;
    std::unordered_map<std::string, roles> roles_;
    std::unordered_map<std::string, account_state> accounts_;
    time_point listed_until_ = time_point::max();
    bool lapsed_ = false;
    time_point evicted_{};
    std::uint64_t granted_as_owner_ = 0;
    std::uint64_t granted_as_deputy_ = 0;
};

} // namespace snipemill
