#pragma once

#include "core/base/name_table.hpp"
#include "core/base/strong_id.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace snipemill {

enum class data_centre_state : std::uint8_t
{
    in,
    out
};

inline constexpr name_table<data_centre_state, 2> data_centre_state_names{{
    {data_centre_state::in, "in"},
    {data_centre_state::out, "out"},
}};

enum class upstream_state : std::uint8_t
{
    active,
    leaving
};

inline constexpr name_table<upstream_state, 2> upstream_state_names{{
    {upstream_state::active, "active"},
    {upstream_state::leaving, "leaving"},
}};

// What a group gives up first when the deadline is near: latency (coverage
// preferred) or coverage (latency preferred).
enum class query_preference : std::uint8_t
{
    coverage,
    latency
};

inline constexpr name_table<query_preference, 2> query_preference_names{{
    {query_preference::coverage, "coverage"},
    {query_preference::latency, "latency"},
}};

struct data_centre_object
{
    std::string name;
    std::string region;
    data_centre_state state = data_centre_state::in;

    friend bool operator==(data_centre_object const&,
                           data_centre_object const&) = default;
};

// A service group with the settings of its queries.
struct group_object
{
    std::string name;
    duration deadline = from_ms(500); // used when the caller gives none
    double min_coverage = 1.0;        // fraction of partitions, 0 to 1
    double hedge_quantile = 0.95;     // latency quantile that starts a hedge
    double hedge_budget = 0.03;       // hedges per sub-request, 0 to 1
    query_preference preference = query_preference::coverage;
    std::uint32_t priority = 100; // higher is refused later under overload
    bool first_step = false;      // unknown queries go to one upstream first

    friend bool operator==(group_object const&, group_object const&) = default;
};

// One shard of a group; its upstreams are replicas of each other.
struct service_object
{
    std::string name;
    std::string group;
    std::uint32_t slots = 2;            // concurrent requests per upstream
    std::uint32_t connections = 25;     // connections per upstream
    duration connect_time = from_ms(6); // typical connection set-up

    friend bool operator==(service_object const&,
                           service_object const&) = default;
};

struct upstream_object
{
    upstream_id id;
    std::string name;
    std::string service;
    std::string data_centre;
    std::string address; // "ip:port"
    upstream_state state = upstream_state::active;

    friend bool operator==(upstream_object const&,
                           upstream_object const&) = default;
};

// Removes the object with this key.
struct removed_object
{
    std::string key;

    friend bool operator==(removed_object const&,
                           removed_object const&) = default;
};

using config_object =
    std::variant<data_centre_object, group_object, service_object,
                 upstream_object, removed_object>;

// Key of an object in the whole state: "<kind>/<name>", for example
// "upstream/stores-desk-01-a".
std::string object_key(config_object const& object);

// A change as an operator submits it. It carries the whole new state of each
// object that it touches.
struct ticket
{
    std::uint64_t number = 0; // 0 until it is submitted
    std::string author;
    std::string reason;
    std::string nonce; // tells two submissions of the same number apart
    std::vector<config_object> objects;

    friend bool operator==(ticket const&, ticket const&) = default;
};

} // namespace snipemill
