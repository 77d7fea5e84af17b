#pragma once

#include "core/base/name_table.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <string>

namespace snipemill {

enum class rollout_state : std::uint8_t
{
    ordered, // no host has begun it
    running,
    succeeded,  // the upstreams of other versions have stopped
    rolled_back // the upstreams of the target version are about to stop
};

inline constexpr name_table<rollout_state, 4> rollout_state_names{{
    {rollout_state::ordered, "ordered"},
    {rollout_state::running, "running"},
    {rollout_state::succeeded, "succeeded"},
    {rollout_state::rolled_back, "rolled_back"},
}};

// What the deciding host has written last.
struct rollout_status
{
    rollout_state state = rollout_state::ordered;
    std::string target_version;
    std::string previous_version; // in use when the rollout began
    // Rises with each change of the deciding host. Hosts obey the highest.
    std::uint64_t token = 0;
    std::string decider;         // host and start of its process
    std::int64_t started_ms = 0; // wall clock of the first decider
    // Requests to the service when this was written, and those of them to the
    // target version.
    std::uint64_t requests = 0;
    std::uint64_t target_requests = 0;

    friend bool operator==(rollout_status const&,
                           rollout_status const&) = default;
};

// Entry of a service in the platform's store: the order, and its status.
struct rollout_entry
{
    std::string name;
    std::string service;
    std::string target_version;
    duration time_limit{};
    std::uint64_t revision = 0;
    std::uint64_t era = 0; // of the store; revisions hold within one
    rollout_status status;

    // State of the current order. A status of an earlier target does not count.
    rollout_state state() const
    {
        return status.target_version == target_version ? status.state
                                                       : rollout_state::ordered;
    }

    friend bool operator==(rollout_entry const&,
                           rollout_entry const&) = default;
};

} // namespace snipemill
