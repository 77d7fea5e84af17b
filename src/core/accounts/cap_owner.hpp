#pragma once

#include "core/accounts/cap_contacts.hpp"
#include "core/accounts/cap_messages.hpp"
#include "core/accounts/cap_plan.hpp"
#include "core/accounts/cap_takeover.hpp"
#include "core/accounts/usage_bucket.hpp"
#include "core/accounts/usage_tolerance.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace snipemill {

struct cap_owner_settings
{
    std::string host; // this one
    // Differs between two runs of a process, and from that of its cap_client:
    // both number messages to the same hosts.
    std::uint32_t run = 2;
    usage_tolerance tolerance;
    // Time for which a new owner grants from the tolerance only, because the
    // previous one may still be granting.
    duration hold = from_ms(1500);
    // Idle accounts with full buckets are evicted after this time.
    duration idle = from_ms(60'000);
    // Time for which a response is repeated to the same request. Requests are
    // repeated once, after 30 ms.
    duration remember = from_ms(2000);
    // The owner withholds the part of a data centre whose deputy answered none
    // of its messages of this time. Must end before `silence` does: both begin
    // with the last message that passed between the two hosts. Without a value
    // nothing is withheld.
    std::optional<duration> contact_valid = from_ms(1000);
    // A deputy takes over when the owner has been silent for this long.
    duration silence = from_ms(1500);
};

// Grants requests of accounts to hosts, as the owner of an account and as the
// deputy for the hosts of its data centre. Load pattern: accounts with caps of
// a few requests/s whose requests arrive at any of hundreds of hosts.
class cap_owner
{
public:
    using send_callback =
        std::function<void(fleet_host const&, cap_request const&)>;
    // Account, name of the owner, whether a take-over begins or ends.
    using takeover_callback =
        std::function<void(std::string const&, std::string const&, bool)>;

    // send must not call on_contact() before it returns.
    explicit cap_owner(cap_owner_settings settings, send_callback send = {},
                       takeover_callback on_takeover = {});

    // A role that this host did not have begins with a new bucket.
    void set_plan(cap_plan const& plan, time_point now);
    // The time until which other hosts are sure to have this host in their
    // lists. After it this host grants only from the tolerance, and another
    // owner may have followed: the next one begins with a new bucket.
    void set_listed_until(time_point at) { listed_until_ = at; }

    cap_grant respond(cap_request const& request, time_point now);
    // A response to a message that this host has sent by `send`.
    void on_contact(cap_grant const& grant, time_point now);

    std::size_t accounts() const { return accounts_.size(); }
    std::uint64_t granted_as_owner() const { return granted_as_owner_; }
    std::uint64_t granted_as_deputy() const { return granted_as_deputy_; }
    std::uint64_t granted_in_takeover() const { return granted_in_takeover_; }
    std::uint64_t contacts_sent() const { return contacts_sent_; }

private:
    // Since when this host has the roles of an account.
    struct roles
    {
        usage_cap cap;
        std::optional<time_point> owner;
        std::optional<time_point> deputy;
        fleet_host owner_host;
        double share = 0;                 // of this host's data centre
        std::vector<cap_deputy> deputies; // if this host is the owner
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

        cap_contacts contacts; // as owner
        double withheld = 0;   // part of the rate
        // Tokens that were in the bucket when it was reduced. They return when
        // the deputies answer and did not grant meanwhile.
        double set_aside = 0;
        time_point set_aside_at{};
        cap_takeover takeover; // as deputy
    };

    using entry = std::pair<std::string const, account_state>;

    cap_grant decide(cap_request const& request, roles const& role, entry& it,
                     time_point now);
    cap_grant as_owner(cap_request const& request, roles const& role, entry& it,
                       time_point now);
    cap_grant from_share(cap_request const& request, roles const& role,
                         entry& it, time_point now);
    std::optional<cap_grant> from_takeover(cap_request const& request,
                                           roles const& role, entry& it,
                                           time_point now);
    cap_grant on_contact_message(cap_request const& request, roles const& role,
                                 time_point now);
    std::uint64_t send_contact(std::string const& account, fleet_host const& to,
                               bool as_deputy);
    bool grants_as_owner(roles const& role, time_point now) const;
    void contact_deputies(std::uint32_t wanted, roles const& role, entry& it,
                          time_point now);
    void withhold(roles const& role, account_state& state, bool keep,
                  time_point now);
    void on_owner_heard(std::string const& account, time_point now);
    void end_takeover(entry& it, time_point now);
    void report_takeover(entry const& it, bool before);
    void reshape(roles const& role, account_state& state, time_point now);
    double busy_demand(usage_cap const& cap) const;
    static duration contention(account_state const& state, time_point now);
    usage_bucket& share_of(roles const& role, account_state& state,
                           time_point now);
    // withheld: part of the cap that deputies may be granting.
    bucket_shape owner_shape(usage_cap const& cap, double withheld) const;
    bucket_shape share_shape(usage_cap const& cap) const;
    void renew_listing(time_point now);
    void evict(time_point now);

    cap_owner_settings settings_;
    send_callback send_;
    takeover_callback on_takeover_;
    std::size_t data_centres_ = 1;
    std::unordered_map<std::string, roles> roles_;
    std::unordered_map<std::string, account_state> accounts_;
    time_point listed_until_ = time_point::max();
    bool lapsed_ = false;
    time_point evicted_{};
    std::uint64_t granted_as_owner_ = 0;
    std::uint64_t granted_as_deputy_ = 0;
    std::uint64_t granted_in_takeover_ = 0;
    std::uint64_t contacts_sent_ = 0;
    std::uint32_t next_number_ = 1;
};

} // namespace snipemill
