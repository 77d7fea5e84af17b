#pragma once

#include "core/ownership/owner_table.hpp"
#include "core/submit/submit_engine.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <variant>
#include <vector>

namespace snipemill {

// Youngest age at which a claim may be removed. Callers may repeat a key for
// 24 h. The last repetition may read the claim until its deadline, at most 1 h
// later. The other hour is for differences between the clocks of hosts.
inline constexpr std::chrono::hours min_claim_age(26);

struct claim_removal_settings
{
    std::chrono::hours claim_age = min_claim_age; // never below the minimum
    std::uint32_t removals_per_second = 10;       // of this host
    // Shortest time between two listings of this host.
    duration list_interval = from_ms(10'000);
    // Time in which the fleet reads all claims once, when the interval allows
    // it. Without it, listings would grow with the number of hosts.
    duration sweep_interval = std::chrono::hours(24);
};

// Reads the claims whose keys begin with the prefix.
struct list_claims
{
    std::string prefix;
};

// Removes the claim when it still has this version.
struct remove_claim
{
    std::string key;
    std::uint64_t version = 0;
};

using claim_removal_action = std::variant<list_claims, remove_claim>;
using claim_removal_actions = std::vector<claim_removal_action>;

struct listed_claim
{
    std::string key;
    std::uint64_t version = 0;
    std::uint64_t created = 0; // wall clock of the creator, ms
};

// Removes old claims at a bounded rate. The claims of each group are divided
// by the first digits of their key hash, and the parts among the live hosts.
// Hosts with different views may both remove a claim; the condition on the
// version makes the second removal harmless.
class claim_removal
{
public:
    explicit claim_removal(claim_removal_settings const& settings)
        : settings_(settings)
    {}

    // To be called often; does nothing before something is due.
    void on_timer(time_point now, routing_view const& view,
                  claim_removal_actions& out);
    void on_listed(std::uint64_t wall_ms,
                   std::vector<listed_claim> const& found);
    // A listing or a removal failed: removes nothing before the next listing.
    void on_failed();

private:
    bool may_remove(time_point now);
    void list_next(time_point now, routing_view const& view,
                   claim_removal_actions& out);

    claim_removal_settings settings_;
    std::vector<remove_claim> old_;   // found, to be removed
    std::deque<time_point> removals_; // of the last second
    std::size_t next_part_ = 0;
    time_point next_list_{};
    bool listing_ = false;
};

} // namespace snipemill
