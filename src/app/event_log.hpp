#pragma once

#include "core/events/event_ring.hpp"
#include "core/events/hybrid_clock.hpp"
#include "ports/event_sink.hpp"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace snipemill {

// The events and the hybrid logical clock of one process, shared by all of
// its threads. Each event is also written as one log line.
class event_log : public event_sink
{
public:
    event_log(std::string host, std::size_t capacity);

    void report(event_kind kind, std::string subject,
                std::string detail) override;
    // Stamp of a message to send.
    hybrid_time stamp();
    // Takes the stamp of a received message into account.
    void received(hybrid_time time);

    std::vector<event> after(std::uint64_t sequence) const;

private:
    std::string host_;
    mutable std::mutex mutex_;
    hybrid_clock clock_;
    event_ring ring_;
};

// Wall clock in microseconds since 1970.
std::uint64_t wall_us();

} // namespace snipemill
