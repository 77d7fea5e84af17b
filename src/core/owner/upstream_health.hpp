#pragma once

#include "core/owner/owned_upstream.hpp"

namespace snipemill {

// Adds one to the counter of the outcome.
void count_outcome(owner_counters& counters, sub_outcome outcome);

// The request that an upstream answered or failed to answer.
struct finished_request
{
    fingerprint print;
    index_version version; // pinned; 0 for a submit
    time_point started{};
    bool abandoned = false; // it had been cancelled or had timed out before
};

// Draws the conclusions from what an upstream answered or failed to answer:
// its limiter, its draining mark and crash reports.
class upstream_health
{
public:
    explicit upstream_health(owner_counters& counters) : counters_(&counters) {}

    void on_answer(time_point now, owned_upstream& u,
                   finished_request const& request, sub_outcome outcome);
    void on_failed(time_point now, owned_upstream& u,
                   finished_request const& request, sub_failure const& failed,
                   owner_actions& out);
    void on_submit(time_point now, owned_upstream& u,
                   finished_request const& request,
                   submit_outcome const& outcome, owner_actions& out);
    void turn_cold(time_point now, owned_upstream& u);

private:
    void on_reset(time_point now, owned_upstream& u,
                  finished_request const& request, owner_actions& out);

    owner_counters* counters_;
};

} // namespace snipemill
