#pragma once

#include "core/base/name_table.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace snipemill {

// Whether a request may run more than once.
enum class idempotency : std::uint8_t
{
    idempotent,
    at_most_once
};

inline constexpr name_table<idempotency, 2> idempotency_names{{
    {idempotency::idempotent, "idempotent"},
    {idempotency::at_most_once, "at_most_once"},
}};

// All requests go to one service.
struct single_target
{
    std::string service;
};

// Requests are divided among services in proportion to the weights.
struct weighted_target
{
    struct weighted_service
    {
        std::string service;
        std::uint32_t weight = 0;
    };
    std::vector<weighted_service> parts;
};

// Each request goes to every shard; the answers are merged.
struct gather_target
{
    std::vector<std::string> shards;
    std::size_t top = 0;          // records in the merged answer
    double min_share = 0;         // of the shards that must be in the answer
    std::size_t record_bytes = 0; // fixed size of a record
};

using route_target =
    std::variant<single_target, weighted_target, gather_target>;

struct forward_route
{
    std::string name;
    std::string host;
    std::string path_prefix; // begins and ends with a slash
    idempotency kind = idempotency::at_most_once;
    duration timeout{};         // a caller is answered by then
    duration objective{};       // an answer by then has its full worth
    std::uint32_t priority = 0; // 0 is the most urgent
    std::uint32_t attempts = 1; // upstreams that may run one request
    route_target target;
};

struct upstream_service
{
    std::string name;
    std::uint32_t max_connections = 0; // to each upstream, of all hosts; 0: any
    double cold_rate = 0; // requests/s that a cold upstream bears; 0: any
};

// What a caller may send, and how long it may take.
struct caller_limits
{
    std::size_t max_header = 16 * 1024; // bytes
    std::size_t max_body = 256 * 1024;  // bytes
    duration header_timeout = from_ms(3000);
    duration idle_timeout = from_ms(15'000);

    friend bool operator==(caller_limits const&,
                           caller_limits const&) = default;
};

// The whole state that operators have put in force. A higher version replaces
// a lower one.
struct manifest
{
    std::uint64_t version = 0;
    std::vector<forward_route> routes;
    std::vector<upstream_service> services;
    caller_limits limits;
};

} // namespace snipemill
