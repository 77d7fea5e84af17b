#pragma once

#include "core/base/rng.hpp"
#include "core/base/slot_map.hpp"
#include "core/ownership/owner_table.hpp"
#include "core/query/messages.hpp"
#include "core/submit/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace snipemill {

struct owner_engine_settings
{
    duration cold_start_interval = from_ms(20); // between starts while cold
    std::uint32_t good_answers_to_grow = 8;     // per step of the limit
    double latency_jump_factor = 4.0;           // over the learned quantile
    std::size_t max_queue = 64; // waiting sub-requests per upstream
    duration status_interval = from_ms(1000); // between status polls
    // The same for an upstream that is used before it is warm. The limit takes
    // at least eight cold starts, 160 ms, to grow: a report that the upstream
    // is still starting comes before that.
    duration ramp_status_interval = from_ms(100);
    duration handover_hold = from_ms(3000); // an upstream newly owned after
                                            // a crash keeps a limit of 1
    bool ramp = true;        // off only to measure what the ramp prevents
    bool limit_slots = true; // off only to measure what ownership prevents
};

// Identifies the stream on which a batch, submit or describe request came.
using peer_handle = std::uint64_t;

// A sub-request for the adapter to send to an upstream.
struct sub_request
{
    fingerprint print;
    index_version version;
    duration remaining{};
    std::string group;
    std::string body;
    std::uint32_t limit = 0;
    sort_order order = sort_order::ascending;
};

// An upstream's complete, well-formed answer to a sub-request.
struct sub_answer
{
    index_version version;
    std::uint32_t partition_count = 0;
    std::vector<partition_part> partitions;
    std::vector<record> records;
};

// An upstream's or the connection's failure to answer.
struct sub_failure
{
    sub_outcome outcome = sub_outcome::reset;
    std::vector<index_version> held; // with version_gone
};

// What an upstream's status endpoint reported. It lags and may be wrong.
struct upstream_status
{
    bool starting = false;
    bool draining = false;
    std::uint32_t in_flight = 0;
    std::vector<held_version> held;
};

struct dispatch_query
{
    slot_handle handle;
    upstream_id upstream;
    sub_request request;
};

struct dispatch_submit
{
    slot_handle handle;
    upstream_id upstream;
    submit_forward request;
};

struct cancel_dispatch
{
    slot_handle handle;
    upstream_id upstream;
};

struct send_part
{
    peer_handle peer = 0;
    query_part part;
};

struct send_described
{
    peer_handle peer = 0;
    describe_answer answer;
};

struct send_submit_result
{
    peer_handle peer = 0;
    submit_result result;
};

struct poll_status
{
    upstream_id upstream;
};

// Keeps this many connections to the upstream open; 0 closes them when idle.
struct set_connections
{
    upstream_id upstream;
    std::string address;
    std::uint32_t warm = 0; // kept open while idle
    std::uint32_t max = 0;  // never exceeded
};

// A sub-request with this fingerprint was in flight when its upstream reset
// the connection without having announced that it leaves.
struct report_crash
{
    fingerprint print;
    upstream_id upstream;
};

using owner_action =
    std::variant<dispatch_query, dispatch_submit, cancel_dispatch, send_part,
                 send_described, send_submit_result, poll_status,
                 set_connections, report_crash>;
using owner_actions = std::vector<owner_action>;

// State of one owned upstream, for status and metrics and for a planned
// handover to the next owner.
struct upstream_gauge
{
    upstream_id upstream;
    upstream_condition condition = upstream_condition::unknown;
    std::uint32_t limit = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    duration latency_quantile{};
};

struct owner_counters
{
    std::uint64_t dispatched = 0;
    std::uint64_t answered = 0;
    std::uint64_t shed = 0;
    std::uint64_t refused = 0;
    std::uint64_t hedge_refused = 0;
    std::uint64_t timed_out = 0;
    std::uint64_t reset = 0;
    std::uint64_t malformed = 0;
    std::uint64_t wrong_version = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t turned_cold = 0;
    std::uint64_t parts = 0;
    std::uint64_t ownership_gained = 0;
    std::uint64_t ownership_lost = 0;
};

// Controls all work sent to the upstreams that this host owns and that are
// pinned to one lane: slots, queues, cold-start ramps, drains, partial merge.
// It performs no I/O; the actions tell the adapter what to do.
class owner_engine
{
public:
    owner_engine(owner_engine_settings const& settings, std::uint32_t lane,
                 std::uint32_t lanes, std::uint64_t seed);
    ~owner_engine();
    owner_engine(owner_engine const&) = delete;
    owner_engine& operator=(owner_engine const&) = delete;

    // Gains and gives up upstreams as the owner table says.
    void on_view(time_point now, std::shared_ptr<routing_view const> view,
                 owner_actions& out);
    // State of upstreams passed on by an owner that leaves in good order.
    void on_handover(time_point now, std::vector<upstream_gauge> const& state,
                     owner_actions& out);
    void on_batch(time_point now, peer_handle peer, query_batch batch,
                  owner_actions& out);
    void on_describe(time_point now, peer_handle peer,
                     describe_request const& request, owner_actions& out);
    void on_submit(time_point now, peer_handle peer, submit_forward request,
                   owner_actions& out);
    void on_cancel_targets(time_point now, peer_handle peer,
                           std::vector<upstream_id> const& targets,
                           owner_actions& out);
    // The peer's stream is gone: everything that it asked for is cancelled,
    // except submits that have been dispatched.
    void on_peer_gone(time_point now, peer_handle peer, owner_actions& out);
    void on_sub_answer(time_point now, slot_handle handle, sub_answer answer,
                       owner_actions& out);
    void on_sub_failed(time_point now, slot_handle handle,
                       sub_failure const& failed, owner_actions& out);
    void on_submit_result(time_point now, slot_handle handle,
                          submit_result result, owner_actions& out);
    void on_status(time_point now, upstream_id upstream,
                   upstream_status const& status, owner_actions& out);
    // The upstream closed all its connections at about the same time.
    void on_connections_lost(time_point now, upstream_id upstream,
                             owner_actions& out);
    // Fingerprints that must not be sent to any upstream.
    void set_quarantine(std::vector<fingerprint> const& prints);
    void on_timer(time_point now, owner_actions& out);

    std::optional<time_point> next_timer() const;
    std::size_t in_flight() const;
    std::vector<upstream_gauge> gauges() const;
    owner_counters const& counters() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace snipemill
