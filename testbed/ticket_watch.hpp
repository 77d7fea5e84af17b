#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace testbed {

// Polls the status of hosts, each in a thread of its own, and keeps when each
// ticket was first seen in force.
class ticket_watch
{
public:
    using clock = std::chrono::steady_clock;

    explicit ticket_watch(std::vector<std::uint16_t> const& operator_ports);
    ~ticket_watch();
    ticket_watch(ticket_watch const&) = delete;
    ticket_watch& operator=(ticket_watch const&) = delete;

    // Answers with a lower ticket than an earlier answer of the same host. A
    // host that has just started has none (0) until it is ready.
    std::uint64_t reverts() const;
    // Answers that were read.
    std::uint64_t answers() const;
    // When the last host showed this ticket or a later one.
    std::optional<clock::time_point> in_force_at(std::uint64_t number) const;

private:
    struct host_record
    {
        std::uint64_t highest = 0;
        std::map<std::uint64_t, clock::time_point> first_seen;
    };

    void poll(std::size_t i, std::uint16_t port);
    void note(std::size_t i, std::uint64_t number, bool ready);

    mutable std::mutex mutex_;
    std::vector<host_record> hosts_;
    std::uint64_t reverts_ = 0;
    std::uint64_t answers_ = 0;
    std::atomic<bool> stopped_{false};
    std::vector<std::thread> threads_;
};

} // namespace testbed
