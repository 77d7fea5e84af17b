#pragma once

#include "core/base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace snipemill {

// Responses of one version on one route.
struct route_latency_sum
{
    std::string route;
    std::uint64_t responses = 0;
    duration sum{};

    friend bool operator==(route_latency_sum const&,
                           route_latency_sum const&) = default;
};

// Totals of one version since the order of the rollout.
struct version_counts
{
    std::string version;
    std::uint64_t requests = 0;
    std::uint64_t bad = 0; // responses
    std::vector<route_latency_sum> latencies;

    friend bool operator==(version_counts const&,
                           version_counts const&) = default;
};

// What a host has seen of a service under a rollout.
struct rollout_report
{
    std::string service;
    std::string target_version;
    std::string host; // the sender
    std::uint64_t fence = 0;
    std::vector<version_counts> versions;

    friend bool operator==(rollout_report const&,
                           rollout_report const&) = default;
};

} // namespace snipemill
