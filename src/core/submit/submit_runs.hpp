#pragma once

#include "core/base/slot_map.hpp"
#include "core/submit/submit_run.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace snipemill {

// The submits of one lane with their timers. Each call to the platform or an
// owner gets a number of its own, so a late answer to an earlier step finds
// nothing.
class submit_runs
{
public:
    submit_runs(std::size_t capacity, std::uint32_t lane);

    slot_handle add(submit_run run);
    submit_run* find(slot_handle h) { return runs_.find(h); }
    std::size_t size() const { return runs_.size(); }
    void end(slot_handle h);

    request_id id_of(slot_handle h) const;
    // A handle that finds nothing when the id is not one of this lane.
    slot_handle handle_of(request_id id) const;
    // Gives the run the number of its next step.
    slot_handle renew(slot_handle h);

    // Sets the timer as the phase of the run asks.
    void schedule(submit_run& run);
    std::optional<time_point> next_timer() const { return timers_.next(); }
    // A run whose timer is due; the timer is then idle.
    std::optional<slot_handle> fire(time_point now);

private:
    timer_queue timers_;
    slot_map<submit_run> runs_;
    std::uint32_t lane_;
};

} // namespace snipemill
