#pragma once

#include "core/membership/join_wait.hpp"
#include "core/membership/message_composer.hpp"

#include <vector>

namespace snipemill {

// Asks the seeds of a starting host, and the hosts that the answers name,
// without waiting for the probe interval.
class joiner
{
public:
    joiner(membership_shared& shared, message_composer& composer)
        : shared_(shared), composer_(composer)
    {}

    // list_ended: the first read of the platform's host list has ended.
    void join(time_point now, std::vector<member_seed> const& seeds,
              bool list_ended, member_actions& out);
    // Asks the hosts that the message, which has been merged, names.
    void on_message(time_point now, probe_message const& m,
                    member_actions& out);
    void on_answer(member_info const& from);
    void extend(duration pause) { wait_.extend(pause); }
    bool joined(time_point now) const { return wait_.over(now); }

private:
    void ask_alive(time_point now, host_id const& id, member_actions& out);
    void ask(time_point now, member_seed const& host, member_actions& out);

    membership_shared& shared_;
    message_composer& composer_;
    join_wait wait_{{}};
    bool joining_ = false;
};

} // namespace snipemill
