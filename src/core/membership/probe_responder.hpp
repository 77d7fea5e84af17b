#pragma once

#include "core/membership/message_composer.hpp"
#include "core/membership/relay_list.hpp"

namespace snipemill {

// Answers probes of other hosts and carries out indirect probes for them.
class probe_responder
{
public:
    probe_responder(membership_shared& shared, message_composer& composer)
        : shared_(shared), composer_(composer)
    {}

    // The sender of each message is a known member.
    void on_probe(probe_message const& m, member_actions& out);
    void on_indirect(time_point now, probe_message const& m,
                     member_actions& out);
    // An answer that may end an indirect probe; the asker is told.
    void on_ack(probe_message const& m, member_actions& out);

    // Drops indirect probes whose asker waits no more.
    void expire(time_point now) { relayed_.expire(now); }
    void clear() { relayed_.clear(); }

private:
    membership_shared& shared_;
    message_composer& composer_;
    relay_list relayed_;
};

} // namespace snipemill
