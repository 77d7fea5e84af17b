#pragma once

#include "core/base/error.hpp"
#include "core/base/name_table.hpp"
#include "core/base/strong_id.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipemill {

enum class sort_order : std::uint8_t
{
    ascending,
    descending
};

inline constexpr name_table<sort_order, 2> sort_order_names{{
    {sort_order::ascending, "asc"},
    {sort_order::descending, "desc"},
}};

// One record of an answer. Records are ordered by rank, then by key.
struct record
{
    std::string key;
    double rank = 0;
    partition_id partition;
    std::string body; // JSON object as the upstream sent it

    friend bool operator==(record const&, record const&) = default;
};

// A partition that a sub-answer covers.
struct partition_part
{
    partition_id id;
    std::uint64_t documents = 0; // documents in the partition
    std::uint64_t matches = 0;   // documents that match the query

    friend bool operator==(partition_part const&,
                           partition_part const&) = default;
};

// What an owner knows of an upstream; a root uses it to choose replicas.
enum class upstream_condition : std::uint8_t
{
    unknown,
    cold,
    warming,
    warm,
    saturated,
    leaving,
    out,
};

inline constexpr name_table<upstream_condition, 7> upstream_condition_names{{
    {upstream_condition::unknown, "unknown"},
    {upstream_condition::cold, "cold"},
    {upstream_condition::warming, "warming"},
    {upstream_condition::warm, "warm"},
    {upstream_condition::saturated, "saturated"},
    {upstream_condition::leaving, "leaving"},
    {upstream_condition::out, "out"},
}};

// How one sub-request ended.
enum class sub_outcome : std::uint8_t
{
    merged,        // its records and partitions are in this part
    version_gone,  // the upstream does not hold the pinned version
    shed,          // refused by the upstream, did not run
    refused,       // refused by the owner, did not run
    hedge_refused, // a hedge that the owner did not run
    not_owner,     // the receiver does not own the upstream
    unreachable,   // no connection, did not run
    timed_out,     // no answer before the deadline
    reset,         // connection lost before the whole answer
    malformed,     // complete answer that is not understood
    wrong_version, // answer from another version than the pinned one
    cancelled,     // cancelled by the root
    quarantined,   // its fingerprint crashes upstreams
    draining,      // refused because the upstream is leaving
};

inline constexpr name_table<sub_outcome, 14> sub_outcome_names{{
    {sub_outcome::merged, "merged"},
    {sub_outcome::version_gone, "version_gone"},
    {sub_outcome::shed, "shed"},
    {sub_outcome::refused, "refused"},
    {sub_outcome::hedge_refused, "hedge_refused"},
    {sub_outcome::not_owner, "not_owner"},
    {sub_outcome::unreachable, "unreachable"},
    {sub_outcome::timed_out, "timed_out"},
    {sub_outcome::reset, "reset"},
    {sub_outcome::malformed, "malformed"},
    {sub_outcome::wrong_version, "wrong_version"},
    {sub_outcome::cancelled, "cancelled"},
    {sub_outcome::quarantined, "quarantined"},
    {sub_outcome::draining, "draining"},
}};

// What an owner reports about one target of a batch.
struct target_result
{
    upstream_id upstream;
    sub_outcome outcome = sub_outcome::refused;
    upstream_condition condition = upstream_condition::unknown;
    std::uint32_t partition_count = 0;      // of the pinned version, 0: unknown
    std::vector<partition_part> partitions; // covered; empty unless merged
    std::vector<index_version> held;        // versions the upstream holds
    duration latency{}; // from dispatch to answer; 0 unless merged

    friend bool operator==(target_result const&,
                           target_result const&) = default;
};

// Sub-requests of one query for one owner.
struct query_batch
{
    request_id id; // unique per root and attempt
    std::string group;
    index_version version;
    duration remaining{};    // until the deadline, at sending
    duration flush_after{};  // send what has arrived after this time
    std::string body;        // query as JSON, passed on to upstreams
    std::uint32_t limit = 0; // records wanted: offset + limit of the query
    sort_order order = sort_order::ascending;
    std::uint32_t priority = 0;
    fingerprint print;
    bool hedge = false; // run only on a warm upstream with a free slot
    bool retry = false; // the retry budget has already been charged
    std::vector<upstream_id> targets;

    friend bool operator==(query_batch const&, query_batch const&) = default;
};

// Results of some targets of a batch. A batch is answered by one part, or by
// several when some targets are slow; every target is reported once.
struct query_part
{
    request_id id;
    index_version version;
    std::vector<record> records; // sorted, distinct, at most limit
    std::vector<target_result> results;
    bool final = false; // no part follows

    friend bool operator==(query_part const&, query_part const&) = default;
};

// Asks an owner which versions its upstreams hold.
struct describe_request
{
    request_id id;
    std::vector<upstream_id> targets;

    friend bool operator==(describe_request const&,
                           describe_request const&) = default;
};

// What an upstream holds of one version.
struct held_version
{
    index_version version;
    // In the whole version; 0: only the version is known.
    std::uint32_t partition_count = 0;
    std::vector<partition_part> partitions;

    friend bool operator==(held_version const&, held_version const&) = default;
};

struct upstream_description
{
    upstream_id upstream;
    upstream_condition condition = upstream_condition::unknown;
    std::vector<held_version> held;

    friend bool operator==(upstream_description const&,
                           upstream_description const&) = default;
};

struct describe_answer
{
    request_id id;
    std::vector<upstream_description> upstreams;

    friend bool operator==(describe_answer const&,
                           describe_answer const&) = default;
};

// A query as a caller sent it, after parsing.
struct caller_query
{
    std::string group;
    std::string body; // JSON of the caller's "query" member
    std::uint32_t offset = 0;
    std::uint32_t limit = 20;
    sort_order order = sort_order::ascending;
    std::optional<duration> deadline;
    std::optional<double> min_coverage;
    bool partial = false; // accept an answer below min_coverage

    friend bool operator==(caller_query const&, caller_query const&) = default;
};

// Partitions that are missing from an answer. The service is the one that
// the version's map names, empty when it is not known.
struct missing_partitions
{
    std::string service;
    std::vector<partition_id> partitions;

    friend bool operator==(missing_partitions const&,
                           missing_partitions const&) = default;
};

struct coverage_report
{
    std::optional<double> fraction; // no value: no claim can be made
    std::uint32_t partitions = 0;   // in the version's map, 0: unknown
    std::uint32_t merged = 0;
    std::vector<missing_partitions> missing;
    std::vector<std::string> missing_services; // not merged into the answer

    friend bool operator==(coverage_report const&,
                           coverage_report const&) = default;
};

struct query_answer
{
    std::vector<record> records; // after offset and limit
    std::uint64_t total = 0;     // matches over the merged partitions
    index_version snapshot;
    coverage_report coverage;
    bool deadline_cut = false; // the deadline passed with services open
    bool partial = false;      // coverage is below what was asked for
    std::uint32_t reruns = 0;
    std::uint32_t hedges = 0;
    std::uint32_t sub_requests = 0;

    friend bool operator==(query_answer const&, query_answer const&) = default;
};

using query_result = std::variant<query_answer, failure>;

} // namespace snipemill
