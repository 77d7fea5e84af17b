#pragma once

#include "core/base/rng.hpp"
#include "core/base/slot_map.hpp"
#include "core/query/index_catalogue.hpp"
#include "core/query/known_prints.hpp"
#include "core/query/latency_quantile.hpp"
#include "core/query/query_engine.hpp"
#include "core/query/replica_choice.hpp"
#include "core/query/route_table.hpp"
#include "core/query/snapshot_choice.hpp"
#include "core/query/token_bucket.hpp"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipemill {

// Budgets count this many recent sub-requests: a full bucket holds the
// configured fraction of it.
inline constexpr double budget_window = 10'000;

// Retries that a host may make before it has sent anything, so that the loss
// of one owner does not cut the first queries of a small host.
inline constexpr double initial_retries = 10;

// Moves that a host may make before it has sent anything, likewise.
inline constexpr double initial_moves = 1'000;

// Fingerprints that are known to be harmless, in groups with the first step.
inline constexpr std::size_t max_known_prints = 8192;

// What queries of one group teach and share.
struct group_load
{
    latency_quantile latency; // of sub-requests, as the root sees them
    token_bucket hedges{0, 0};
    time_point next_refresh{}; // of the catalogue
};

// The batch of a run that a request id belongs to.
struct batch_reference
{
    slot_handle run;
    std::uint32_t batch = 0;
};

// A sub-request that is about to be sent.
struct planned_target
{
    host_index host = no_host;
    topology_index position = 0; // in the current view
    std::uint32_t service = 0;   // position in the group
    upstream_id upstream;
    bool by_second = false; // the host is the second owner
};

// State that the queries of one engine share.
struct query_shared
{
    query_shared(query_engine_settings const& engine_settings,
                 std::uint32_t lane, std::uint32_t lanes, std::uint64_t seed);

    request_id next_request();
    group_load& load(group_object const& group);
    // Returns whether the owner's state changed; routes follow.
    bool set_silent(host_id const& owner, bool is_silent);
    // Runs with a batch open, in the order of their handles.
    std::vector<slot_handle> open_runs() const;

    query_engine_settings settings;
    query_counters counters;
    rng random;
    std::shared_ptr<route_table const> routes; // null before the first view
    std::set<host_id> silent;                  // owners that send nothing
    index_catalogue catalogue;
    snapshot_cache snapshots;
    replica_choice replicas;
    token_bucket retries;
    token_bucket moves; // of sub-requests away from silent owners
    known_prints prints;
    std::unordered_map<request_id, batch_reference> requests;

    // Reused between queries.
    std::vector<planned_target> plan;
    std::vector<planned_target> plan_by_host;
    std::vector<std::uint32_t> host_offsets;
    std::vector<topology_index> replica_positions;
    std::vector<std::uint32_t> listed; // by partition, see query_run
    std::uint32_t listed_stamp = 0;

private:
    std::uint64_t lanes_;
    std::uint64_t next_id_;
    std::unordered_map<std::string, group_load> loads_;
};

} // namespace snipemill
