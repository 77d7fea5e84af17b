#pragma once

#include <cstddef>
#include <cstdint>

namespace standin {

// Counters of one upstream; they only grow until they are reset.
struct upstream_counters
{
    std::uint64_t requests = 0; // POST /search and /execute
    std::uint64_t ran = 0;      // started
    std::size_t max_in_flight = 0;
    std::uint64_t slot_violations = 0; // requests that came over the slots
    std::uint64_t collapses = 0;
    std::uint64_t crashes = 0;
    std::uint64_t closed_before = 0; // connections, by close_execute
    std::uint64_t closed_during = 0;
    std::uint64_t closed_after = 0;
    std::uint64_t listener_closed = 0; // by refuse_connections_ms
    std::uint64_t cancelled = 0;
    std::uint64_t shed = 0;
    std::uint64_t expired = 0;
    std::int64_t last_request_ms = -1; // since the start of the process
};

} // namespace standin
