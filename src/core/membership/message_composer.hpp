#pragma once

#include "core/membership/membership_shared.hpp"

#include <cstdint>

namespace snipemill {

// Builds membership messages with the updates that they carry.
class message_composer
{
public:
    explicit message_composer(membership_shared& shared) : shared_(shared) {}

    // A message without updates.
    probe_message bare(probe_kind kind, std::uint64_t sequence) const;
    // A message to this member with at most max_updates updates.
    probe_message compose(probe_kind kind, std::uint64_t sequence,
                          host_id const& to);

private:
    void add_updates(probe_message& m, host_id const& to);
    void add_background(probe_message& m, host_id const& to);
    void add_member(probe_message& m, host_id const& id, host_id const& to);

    membership_shared& shared_;
};

// Sends a message to the peer port of a member.
void send_to(member_info const& to, probe_message m, member_actions& out);

} // namespace snipemill
