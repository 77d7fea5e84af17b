#pragma once

#include "core/owner/owned_upstream.hpp"

namespace snipemill {

// Adds one to the counter of the outcome.
void count_outcome(owner_counters& counters, sub_outcome outcome);

// Draws the conclusions from what an upstream answered or failed to answer:
// its limiter, its draining mark and crash reports.
class upstream_health
{
public:
    explicit upstream_health(owner_counters& counters) : counters_(&counters) {}

    void on_answer(time_point now, owned_upstream& u, sub_outcome outcome,
                   duration latency);
    // abandoned: the request had been cancelled or had timed out before.
    void on_failed(time_point now, owned_upstream& u, fingerprint print,
                   sub_failure const& failed, duration ran_for, bool abandoned,
                   owner_actions& out);
    void on_submit(time_point now, owned_upstream& u, fingerprint print,
                   submit_outcome const& outcome, duration ran_for,
                   owner_actions& out);
    void turn_cold(owned_upstream& u);

private:
    void on_reset(owned_upstream& u, fingerprint print, owner_actions& out);

    owner_counters* counters_;
};

} // namespace snipemill
