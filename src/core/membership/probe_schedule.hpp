#pragma once

#include "core/base/rng.hpp"
#include "core/membership/member_table.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace snipemill {

// Chooses whom to probe next: members in shuffled round-robin order, so that
// each is probed within two rounds, and in between those that this host
// itself suspects, so that a wrong suspicion is refuted in time.
class probe_schedule
{
public:
    explicit probe_schedule(rng& random) : random_(random) {}

    void set_seeds(std::vector<member_seed> seeds);
    std::optional<host_id> next_member(member_table const& members);
    std::optional<host_id> next_dead(member_table const& members);
    // A seed that no member is known to use.
    std::optional<member_seed> next_seed(member_table const& members,
                                         member_info const& self);
    // All such seeds, starting with the next one.
    std::vector<member_seed> unknown_seeds(member_table const& members,
                                           member_info const& self) const;
    // Up to n random members other than the target.
    std::vector<host_id> relays(member_table const& members,
                                host_id const& target, std::size_t n);

private:
    std::optional<host_id> next_suspect(member_table const& members);
    static bool unknown(member_table const& members, member_info const& self,
                        member_seed const& seed);
    void refill(member_table const& members);
    void shuffle(std::vector<host_id>& ids);

    rng& random_;
    std::vector<member_seed> seeds_;
    std::size_t next_seed_ = 0;
    std::vector<host_id> round_; // the last is next
    bool suspect_was_last_ = false;
    std::size_t next_suspect_ = 0;
    std::size_t next_dead_ = 0;
};

} // namespace snipemill
