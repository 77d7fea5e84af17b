#pragma once

#include "core/base/time.hpp"
#include "core/rollouts/rollout_entry.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace snipemill {

// Counts of latencies in buckets that grow by a fourth of an octave, from
// 0.25 ms to 16 s. Sums over hosts are exact.
struct latency_counts
{
    static constexpr std::size_t size = 64;

    static std::size_t bucket_of(duration d)
    {
        auto const quarters = 4 * std::log2(std::max(0.25, to_ms(d)) * 4);
        return std::min(size - 1, static_cast<std::size_t>(quarters));
    }

    std::array<std::uint64_t, size> counts{};

    friend bool operator==(latency_counts const&,
                           latency_counts const&) = default;
};

// Requests of one route to upstreams of one version since the rollout began.
struct version_counts
{
    std::uint64_t sent = 0;
    std::uint64_t ended = 0;  // with or without an answer
    std::uint64_t failed = 0; // of the ended ones
    latency_counts latencies; // of answers that are no failures

    friend bool operator==(version_counts const&,
                           version_counts const&) = default;
};

struct route_counts
{
    std::string route;
    version_counts previous;
    version_counts target;

    friend bool operator==(route_counts const&, route_counts const&) = default;
};

// Counters of one host, cumulative: a lost report is replaced by the next.
struct rollout_report
{
    std::string host;
    // Of the host's process; the counters of another start begin at 0.
    std::uint64_t incarnation = 0;
    std::string service;
    std::string target_version;
    double share = 0; // of the target version, in force at the host
    std::vector<route_counts> routes;

    friend bool operator==(rollout_report const&,
                           rollout_report const&) = default;
};

// What a deciding host tells all hosts; repeats the whole state.
struct rollout_instruction
{
    std::string service;
    std::string target_version;
    std::uint64_t token = 0;
    std::uint64_t number = 0; // rises with each instruction of the token
    rollout_state state = rollout_state::running;
    double share = 0; // of the target version
    std::string decider;

    friend bool operator==(rollout_instruction const&,
                           rollout_instruction const&) = default;
};

} // namespace snipemill
