#pragma once

#include "adapters/peer/peer_link.hpp"
#include "adapters/upstream/upstream_pool.hpp"
#include "core/owner/owner_engine.hpp"
#include "core/query/query_engine.hpp"
#include "core/submit/submit_engine.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace snipemill {

// Counters and gauges of one lane, or the sum over the lanes of a host.
struct lane_status
{
    query_counters query;
    owner_counters owner;
    submit_counters submit;
    upstream_counters upstream;
    peer_counters peer;
    std::uint64_t bad_requests = 0;
    std::size_t queries_in_flight = 0;
    std::size_t submits_in_flight = 0;
    std::size_t sub_requests_in_flight = 0;
    std::size_t open_requests = 0; // of callers, until the answer is written
    std::vector<upstream_gauge> gauges;

    bool idle() const
    {
        return queries_in_flight == 0 && submits_in_flight == 0 &&
               sub_requests_in_flight == 0 && open_requests == 0;
    }
};

// Calls f(name, reference) for every counter that a lane keeps. Both metrics
// and status use these names.
template <class Status, class F>
void for_each_counter(Status& s, F f)
{
    f("queries_total", s.query.queries);
    f("queries_answered_total", s.query.answered);
    f("queries_refused_total", s.query.refused);
    f("sub_requests_total", s.query.sub_requests);
    f("hedges_total", s.query.hedges);
    f("hedges_won_total", s.query.hedges_won);
    f("retries_total", s.query.retries);
    f("moves_total", s.query.moves);
    f("reruns_total", s.query.reruns);
    f("late_parts_total", s.query.late_parts);
    f("wrong_version_results_total", s.query.wrong_version);
    f("malformed_results_total", s.query.malformed);
    f("duplicate_results_total", s.query.duplicate_results);
    f("duplicate_records_total", s.query.duplicate_records);
    f("deadline_cuts_total", s.query.deadline_cuts);
    f("incomplete_coverage_total", s.query.incomplete_coverage);
    f("owner_dispatched_total", s.owner.dispatched);
    f("owner_answered_total", s.owner.answered);
    f("owner_shed_total", s.owner.shed);
    f("owner_refused_total", s.owner.refused);
    f("owner_hedges_refused_total", s.owner.hedge_refused);
    f("owner_timed_out_total", s.owner.timed_out);
    f("owner_reset_total", s.owner.reset);
    f("owner_malformed_total", s.owner.malformed);
    f("owner_wrong_version_total", s.owner.wrong_version);
    f("owner_cancelled_total", s.owner.cancelled);
    f("owner_turned_cold_total", s.owner.turned_cold);
    f("owner_parts_total", s.owner.parts);
    f("ownership_gained_total", s.owner.ownership_gained);
    f("ownership_lost_total", s.owner.ownership_lost);
    f("submits_total", s.submit.submits);
    f("submits_answered_total", s.submit.answered);
    f("submits_not_run_total", s.submit.not_run);
    f("submits_unknown_total", s.submit.unknown);
    f("submits_repeated_total", s.submit.repeated);
    f("claims_resolved_total", s.submit.claims_resolved);
    f("upstream_connects_total", s.upstream.connects);
    f("upstream_connect_failures_total", s.upstream.connect_failures);
    f("upstream_requests_total", s.upstream.requests);
    f("upstream_resets_total", s.upstream.resets);
    f("upstream_truncated_total", s.upstream.truncated);
    f("upstream_malformed_total", s.upstream.malformed);
    f("traffic_streams_opened_total", s.peer.streams_opened);
    f("traffic_streams_served_total", s.peer.streams_served);
    f("traffic_streams_failed_total", s.peer.streams_failed);
    f("traffic_bytes_sent_total", s.peer.bytes_sent);
    f("traffic_bytes_received_total", s.peer.bytes_received);
    f("peer_protocol_errors_total", s.peer.protocol_errors);
    f("bad_requests_total", s.bad_requests);
}

// Adds the counters and gauges of another lane.
void add(lane_status& sum, lane_status const& other);

} // namespace snipemill
