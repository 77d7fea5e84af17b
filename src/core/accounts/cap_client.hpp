#pragma once

#include "core/accounts/cap_messages.hpp"
#include "core/accounts/cap_plan.hpp"
#include "core/accounts/usage_tolerance.hpp"
#include "core/base/name_table.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipemill {

// Why a request was admitted or not.
enum class cap_reason : std::uint8_t
{
    granted,
    owner_refused,  // the account is over its cap
    refused_before, // the same, by the owner's last refusal
    no_tolerance,   // nobody who could grant by the cap responded
    no_response,    // neither from the owner nor from the deputy
    no_grantor,     // the list of hosts names none, or they deny it
    deadline,
    stopping,
};

inline constexpr name_table<cap_reason, 8> cap_reason_names{{
    {cap_reason::granted, "granted"},
    {cap_reason::owner_refused, "owner_refused"},
    {cap_reason::refused_before, "refused_before"},
    {cap_reason::no_tolerance, "no_tolerance"},
    {cap_reason::no_response, "no_response"},
    {cap_reason::no_grantor, "no_grantor"},
    {cap_reason::deadline, "deadline"},
    {cap_reason::stopping, "stopping"},
}};

struct cap_decision
{
    cap_reason reason = cap_reason::granted;
    duration retry_after{};
    std::string owner;    // host that decided or did not respond
    duration basis_age{}; // since that host was asked

    bool admitted() const { return reason == cap_reason::granted; }
    bool over_cap() const
    {
        return reason == cap_reason::owner_refused ||
               reason == cap_reason::refused_before;
    }
};

struct cap_client_settings
{
    std::string host; // this one
    // Differs between two runs of a process.
    std::uint32_t run = 1;
    // Tokens expire at most this long after they were asked for.
    duration lifetime = from_ms(250);
    usage_tolerance tolerance;
    // A request without a response is sent again after this time, once.
    duration repeat = from_ms(30);
    // For this long a host that did not respond is asked last.
    duration avoid = from_ms(1000);
};

// Admits requests of accounts at one host with tokens that owners and deputies
// grant. Load pattern: accounts with caps of a few requests/s whose requests
// arrive at any of hundreds of hosts, so that most requests need a token of
// their own, and bursts of one account, which share one cap request.
class cap_client
{
public:
    using send_callback =
        std::function<void(fleet_host const&, cap_request const&)>;
    using decide_callback = std::function<void(cap_decision const&)>;

    // send may call on_grant() before it returns.
    cap_client(cap_client_settings settings, send_callback send);
    cap_client(cap_client const&) = delete;
    cap_client& operator=(cap_client const&) = delete;

    void set_plan(cap_plan plan);
    // Calls f with the decision, possibly before it returns. A request that
    // still waits at `end` is refused. Returns the number for cancel().
    std::uint64_t admit(std::string const& account, time_point end,
                        time_point now, decide_callback f);
    // The caller is gone: f will not be called.
    void cancel(std::string const& account, std::uint64_t number);
    void on_grant(cap_grant const& grant, time_point now);
    void on_timer(time_point now);
    std::optional<time_point> next_timer() const;
    // Refuses all waiting requests because this host stops.
    void end_all();

    std::size_t accounts() const { return accounts_.size(); }
    std::size_t waiting() const { return waiting_; }
    std::uint64_t requests_sent() const { return requests_sent_; }

private:
    struct waiter
    {
        std::uint64_t number = 0;
        time_point end{};
        decide_callback decide;
    };

    // A cap request that may still be answered.
    struct ask
    {
        cap_request request;
        fleet_host to;
        time_point sent{};
        time_point expires{}; // what it grants
        time_point due{};     // to repeat or give up
        bool repeated = false;
    };

    struct lot
    {
        std::uint32_t tokens = 0;
        time_point expires{};
    };

    struct refusal
    {
        time_point until{}; // the account has no room before
        time_point next{};  // promised to the next caller
        duration interval{};
        std::string owner;
        time_point asked{};
    };

    struct account_state
    {
        std::vector<lot> lots;
        std::deque<waiter> waiting;
        // The current one, while requests wait; earlier ones may be answered
        // late by a host that was short of CPU time.
        std::optional<ask> current;
        std::vector<ask> earlier;
        refusal refused;
        double arrivals = 0; // decaying count
        time_point used{};
    };

    using entry = std::pair<std::string const, account_state>;

    static bool take_token(account_state& state, time_point now);
    static void count_arrival(account_state& state, time_point now);
    static time_point promise(refusal& it);
    static void shelve_unused(account_state& state);
    void ask_for(entry& it, time_point now);
    void ask_host(entry& it, fleet_host const& to, bool as_deputy,
                  time_point now);
    void ask_deputy(entry& it, cap_reason reason, duration retry_after,
                    time_point now);
    void admit_waiting(entry& it, time_point now);
    void on_refused(entry& it, ask const& asked, cap_grant const& grant,
                    time_point now);
    void refuse_over_cap(entry& it, ask const& asked, cap_grant const& grant,
                         time_point now);
    void refuse_waiting(entry& it, cap_decision const& decision);
    std::deque<waiter> take_waiting(account_state& state);
    std::vector<entry*> waiting_accounts();
    duration lifetime_of(usage_cap const& cap) const;
    void find_wake_time();
    void on_overdue(entry& it, time_point now);
    void time_out_waiting(entry& it, time_point now);
    bool is_avoided(fleet_host const& host, time_point now) const;
    void evict(time_point now);

    cap_client_settings settings_;
    send_callback send_;
    cap_plan plan_;
    std::unordered_map<std::string, account_state> accounts_;
    std::map<std::string, time_point> avoided_; // hosts, until when
    std::size_t waiting_ = 0;
    // No timer is due before; found anew when it has passed.
    time_point wake_at_ = time_point::max();
    std::uint64_t next_number_ = 1;
    std::uint32_t next_request_ = 1;
    std::uint64_t requests_sent_ = 0;
    time_point evicted_{};
};

} // namespace snipemill
