#pragma once

#include "core/owner/timer_queue.hpp"
#include "core/submit/submit_engine.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace snipemill {

enum class submit_phase : std::uint8_t
{
    claiming,     // a write of the claim is out
    reading,      // a read of the claim is out
    read_pause,   // waits before the next read
    forwarded,    // an owner has the request
    recording,    // a write of the outcome is out
    record_pause, // waits before the next write of the outcome
};

// One submit. It lives on after the caller has been answered while the claim
// in the platform still has to be settled.
struct submit_run
{
    std::uint64_t caller = 0;
    caller_submit request;
    claim value; // as this attempt writes it
    fingerprint print;
    time_point deadline{};
    // The run ends at this time, whatever is still open.
    time_point give_up{};
    timer_id timer = 0;

    submit_phase phase = submit_phase::claiming;
    bool answered = false;     // the caller has its answer
    bool may_be_ours = false;  // a write of the claim had no clear answer
    std::uint32_t reads = 0;   // of the claim, to slow them down
    std::uint32_t records = 0; // writes of the outcome
    std::uint64_t version = 0; // of the claim, once it is ours
    time_point resume{};       // end of a pause

    std::vector<upstream_id> tried;
    std::optional<submit_outcome> outcome; // from now on only recorded
};

} // namespace snipemill
