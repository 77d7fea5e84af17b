#pragma once

#include "core/membership/membership_shared.hpp"

namespace snipemill {

// Merges what messages and timers tell of members into the member table, and
// queues what others have to learn.
class update_merger
{
public:
    explicit update_merger(membership_shared& shared) : shared_(shared) {}

    // Merges the sender and the updates of a message.
    void merge(time_point now, probe_message const& m, member_actions& out);
    // Declares members dead whose suspicion has run out.
    void expire(time_point now, member_actions& out);

private:
    void learn(time_point now, member_info const& news, member_actions& out);
    bool refute(member_info const& news);

    membership_shared& shared_;
};

} // namespace snipemill
