#pragma once

#include "core/membership/message_composer.hpp"
#include "core/membership/probe_schedule.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace snipemill {

// Probes of this host: one member each interval, directly and then through
// others, and dead members and unknown seeds at a low rate.
class prober
{
public:
    prober(membership_shared& shared, message_composer& composer);

    void set_seeds(std::vector<member_seed> seeds);
    std::vector<member_seed> unknown_seeds() const;
    // Starts the intervals; later calls have no effect.
    void start(time_point now);
    // Ends the probe under way when the timer is so late that the host must
    // have been paused, and returns for how long. A host that was paused has
    // missed answers; they say nothing about others.
    duration note_pause(time_point now);
    // Returns whether an interval has begun.
    bool on_timer(time_point now, member_actions& out);
    // Returns whether the message answers the probe under way, which is ended.
    bool on_ack(probe_message const& m);
    // Probes up to n random members, whose answers are not waited for.
    void probe_any(std::size_t n, member_actions& out);
    // After start().
    time_point next_timer() const;
    bool started() const { return started_; }

private:
    // The probe of this interval.
    struct current_probe
    {
        host_id target;
        std::uint64_t sequence = 0;
        time_point indirect_at{};
        bool indirect_sent = false;
    };

    void end_probe(time_point now, member_actions& out);
    void start_probe(time_point now, member_actions& out);
    void send_indirect(member_actions& out);
    void probe_unreachable(member_actions& out);
    void probe_member(host_id const& id, std::uint64_t sequence,
                      member_actions& out);
    void probe_seed(member_seed const& seed, member_actions& out);

    membership_shared& shared_;
    message_composer& composer_;
    probe_schedule schedule_;
    bool started_ = false;
    time_point next_tick_{};
    time_point next_dead_probe_{};
    bool seed_is_next_ = false;
    std::optional<current_probe> probe_;
};

} // namespace snipemill
