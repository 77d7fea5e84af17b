#pragma once

#include "core/owner/owner_engine.hpp"
#include "core/owner/run_merger.hpp"
#include "core/owner/timer_queue.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace snipemill {

// Remaining times from the network are cut to this, so that adding one to the
// current time cannot overflow.
inline constexpr duration max_remaining = from_ms(3'600'000);

time_point deadline_after(time_point now, duration remaining);

// One target of a batch on its way through the owner.
struct batch_target
{
    upstream_id upstream;
    slot_handle job; // while it waits or runs
    bool done = false;
};

// A batch in work: collects the results of its targets and merges their
// records into parts.
class owner_batch
{
public:
    owner_batch(time_point now, peer_handle peer, query_batch request);

    peer_handle peer() const { return peer_; }
    query_batch const& request() const { return request_; }
    time_point deadline() const { return deadline_; }
    std::size_t size() const { return targets_.size(); }
    batch_target const& target(std::size_t i) const { return targets_[i]; }
    // Place of the upstream among the targets.
    std::optional<std::size_t> position(upstream_id id) const;
    void set_job(std::size_t i, slot_handle job) { targets_[i].job = job; }

    // Records how target i ended; each target ends once. answer is only read
    // when the result's outcome is merged.
    void finish(std::size_t i, target_result result, sub_answer answer = {});
    bool done() const { return open_ == 0; }
    // Whether a part should be sent now.
    bool part_due(time_point now) const;
    // When time alone makes something due: the flush, then the deadline.
    time_point next_due(time_point now) const;
    query_part take_part(run_merger& merger);

    timer_id timer = 0;
    bool touched = false; // results were added by the current input

private:
    peer_handle peer_;
    query_batch request_;
    time_point deadline_;
    time_point flush_at_;
    std::size_t open_;
    std::vector<batch_target> targets_;     // ascending, distinct
    std::vector<target_result> results_;    // not yet sent
    std::vector<std::vector<record>> runs_; // not yet sent
};

} // namespace snipemill
