#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace standin {

// Options of one upstream.
struct upstream_settings
{
    std::uint16_t port = 0;
    std::uint32_t slots = 2;
    std::size_t connections = 25;
    double connect_ms = 0;
    double latency_ms = 2;             // median of the service time
    double latency_sigma = 0.25;       // of the log-normal distribution
    std::uint32_t straggle_one_in = 0; // 0: never
    double straggle_factor = 10;
    double cold_ms = 0;          // work until warm after a start
    double cold_factor = 5;      // of the service time while cold
    std::size_t cold_limit = 2;  // concurrent while cold, more collapse
    std::size_t collapse_at = 0; // concurrent while warm, 0: never collapses
    double collapse_ms = 2000;
    std::size_t queue = 16; // waiting over the slots, more are shed
    double status_lag_ms = 0;
    double restart_ms = 500;
    std::uint64_t seed = 1;

    std::uint32_t services = 1;
    std::uint32_t service = 0; // index of this upstream's service
    std::uint32_t partitions = 8;
    std::uint32_t records_per_partition = 10;
    std::vector<std::uint64_t> versions = {1};
};

} // namespace standin
