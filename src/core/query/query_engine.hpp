#pragma once

#include "core/base/rng.hpp"
#include "core/ownership/owner_table.hpp"
#include "core/query/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace snipemill {

struct query_engine_settings
{
    std::size_t max_queries = 4096; // in flight on this engine
    duration min_flush_after = from_ms(2);
    duration default_hedge_after = from_ms(30); // until latencies are known
    double rerun_fraction = 1.0 / 3.0; // of the deadline that must remain
    double retry_budget = 0.1;         // retries per recent sub-request
    double move_budget = 0.25;        // moves away from silent owners, likewise
    std::uint32_t max_limit = 10'000; // offset + limit of one query
};

// Identifies the caller's request at the adapter that received it.
using caller_handle = std::uint64_t;

struct send_batch
{
    host_id to;
    query_batch batch;
};

// Cancels what is still open of a batch at its owner.
struct cancel_batch
{
    host_id to;
    request_id id;
};

struct cancel_targets
{
    host_id to;
    request_id id;
    std::vector<upstream_id> targets;
};

struct send_describe
{
    host_id to;
    describe_request request;
};

struct answer_caller
{
    caller_handle caller = 0;
    query_result result;
};

using query_action = std::variant<send_batch, cancel_batch, cancel_targets,
                                  send_describe, answer_caller>;
using query_actions = std::vector<query_action>;

// Counters of one engine; they only grow.
struct query_counters
{
    std::uint64_t queries = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t sub_requests = 0;
    std::uint64_t hedges = 0;
    std::uint64_t hedges_won = 0;
    std::uint64_t retries = 0;
    std::uint64_t moves = 0; // away from silent owners
    std::uint64_t reruns = 0;
    std::uint64_t late_parts = 0;
    std::uint64_t wrong_version = 0;
    std::uint64_t malformed = 0;
    std::uint64_t duplicate_results = 0;
    std::uint64_t duplicate_records = 0;
    std::uint64_t deadline_cuts = 0;
    std::uint64_t incomplete_coverage = 0;
};

// Runs the queries that callers sent to one lane of this host: chooses the
// snapshot and replicas, sends batches to owners, hedges, merges parts and
// answers. It performs no I/O; the actions tell the adapter what to do.
class query_engine
{
public:
    // lane goes into the low bits of request ids, so that answers find their
    // way back; lanes is the number of lanes of the process.
    query_engine(query_engine_settings const& settings, std::uint32_t lane,
                 std::uint32_t lanes, std::uint64_t seed);
    ~query_engine();
    query_engine(query_engine const&) = delete;
    query_engine& operator=(query_engine const&) = delete;

    void on_view(time_point now, std::shared_ptr<routing_view const> view,
                 query_actions& out);
    void on_query(time_point now, caller_handle caller, caller_query query,
                  query_actions& out);
    void on_caller_gone(time_point now, caller_handle caller,
                        query_actions& out);
    void on_part(time_point now, host_id const& from, query_part part,
                 query_actions& out);
    // The stream of a batch or describe request ended without a final answer.
    void on_stream_failed(time_point now, host_id const& from, request_id id,
                          errc reason, query_actions& out);
    // The owner sends nothing although it has requests open. Open queries are
    // also sent elsewhere and new ones avoid it, until it answers. Adapters
    // must not report this host.
    void on_owner_silent(time_point now, host_id const& owner,
                         query_actions& out);
    void on_owner_answering(host_id const& owner);
    void on_described(time_point now, host_id const& from,
                      describe_answer answer, query_actions& out);
    void on_timer(time_point now, query_actions& out);

    // Time from the arrival of a query to its deadline; zero when its group
    // does not exist.
    duration time_allowed(caller_query const& query) const;

    // When on_timer wants to be called next; no value when nothing waits.
    std::optional<time_point> next_timer() const;

    std::size_t in_flight() const;
    query_counters const& counters() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace snipemill
