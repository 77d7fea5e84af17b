#pragma once

#include "core/accounts/client_account.hpp"
#include "core/base/idempotency.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipemill {

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
    std::vector<weighted_service> services;
};

// Each request goes to every shard; the answers are merged.
struct gather_target
{
    std::vector<std::string> shards;
    std::size_t top = 0;  // maximum number of records in the merged answer
    double min_share = 0; // ratio of the shards that an answer must cover
    std::size_t record_bytes = 0; // fixed size of a record
};

using route_target =
    std::variant<single_target, weighted_target, gather_target>;

struct forward_route
{
    std::string name;
    std::string host;
    std::string path_prefix; // starts and ends with a slash
    idempotency kind = idempotency::at_most_once;
    duration timeout{};         // the caller gets an answer or an error by then
    duration objective{};       // target latency; later answers are worth less
    std::uint32_t priority = 0; // 0 is the highest priority
    std::uint32_t attempts = 1; // limit of upstreams that may run one request
    // Requests need no key although the manifest has client accounts.
    bool is_public = false;
    route_target target;
};

struct upstream_service
{
    std::string name;
    // Limit of connections to each upstream from all hosts together; 0: no
    // limit.
    std::uint32_t max_connections = 0;
    // Requests/s that a cold upstream can take; 0: no limit.
    double cold_rate = 0;
};

// Limits on the size and the duration of a caller's request.
struct caller_limits
{
    std::size_t max_header = 16 * 1024; // bytes
    std::size_t max_body = 256 * 1024;  // bytes
    duration header_timeout = from_ms(3000);
    duration idle_timeout = from_ms(15'000);

    friend bool operator==(caller_limits const&,
                           caller_limits const&) = default;
};

// The complete configuration that operators have put in force. A manifest
// replaces one of a lower version.
struct manifest
{
    std::uint64_t version = 0;
    std::vector<forward_route> routes;
    std::vector<upstream_service> services;
    caller_limits limits;
    // Without a value callers need no keys.
    std::optional<std::vector<client_account>> accounts;
};

} // namespace snipemill
