#pragma once

#include "core/membership/member_list.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace snipemill {

// Far beyond any start time in ms; a member can always add one to it.
inline constexpr std::uint64_t max_incarnation = std::uint64_t{1} << 62;

// What one host knows of a member.
struct member_record
{
    member_info info;
    time_point changed_at{}; // last change of the state
    // When the member is declared dead unless it answers or refutes. Set for
    // suspects and for leaving members that do not answer.
    std::optional<time_point> dead_at;
    bool own_suspicion = false; // found by this host's own probe
    // When this host learnt that the member is suspect or dead.
    std::optional<time_point> unreachable_since = {};
};

// Position of a state in the order in which states of the same incarnation
// replace each other.
int state_rank(member_state s);

// Whether news replaces what is known of the same member.
bool supersedes(member_info const& news, member_info const& known);

// Whether a member takes part in the protocol.
bool takes_part(member_info const& m);

// Members other than this host, with the rules that decide which news is
// newer.
class member_table
{
public:
    member_table(member_list_settings const& settings, std::string data_centre);

    enum class outcome : std::uint8_t
    {
        ignored,
        refreshed, // newer, but the same state and address
        changed
    };

    outcome apply(time_point now, member_info const& news);
    // A probe of this member was not answered. Returns whether its state
    // changed.
    bool suspect(time_point now, host_id const& id);
    // The member itself has sent a message.
    void on_contact(host_id const& id);
    // Declares members dead whose time is over, and returns them.
    std::vector<member_info> expire(time_point now);
    void forget(time_point now);
    // The host was paused: members get the lost time to refute.
    void extend(duration pause);

    member_record const* find(host_id const& id) const;
    std::optional<time_point> next_expiry() const;
    std::vector<member_info> all() const;
    std::map<host_id, time_point> unreachable() const;
    // Ids of members that take part, ascending.
    std::vector<host_id> active() const;
    std::vector<host_id> dead() const;
    std::vector<host_id> own_suspects() const;
    std::size_t active_count() const;
    bool knows_address(member_seed const& address) const;

private:
    void set_timer(time_point now, member_record& r);
    static void note_reachable(time_point now, member_record& r);

    member_list_settings settings_;
    std::string data_centre_;
    std::map<host_id, member_record> records_;
};

} // namespace snipemill
