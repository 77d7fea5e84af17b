#pragma once

#include "core/query/attempt_table.hpp"
#include "core/query/coverage_counter.hpp"
#include "core/query/query_shared.hpp"
#include "core/query/record_merger.hpp"
#include "core/query/resend_planner.hpp"
#include "core/query/target_planner.hpp"

#include <cstdint>
#include <utility>
#include <vector>

namespace snipemill {

// One run of a query at one version: its sub-requests, retries and hedges,
// and what was merged so far.
class snapshot_run
{
public:
    // Values for all batches of one query. What a run fills in is left empty.
    struct input
    {
        slot_handle self;
        query_batch pattern;
        time_point deadline{};
        double hedge_quantile = 0;
        double hedge_budget = 0;
        group_load* load = nullptr;
    };

    // Starts anew with nothing sent.
    void reset(query_shared& shared, input const& in, run_view view);

    // Ends the first step: sends to every service that was not tried yet, and
    // again to those that failed in the step.
    void send_first(query_shared& shared, time_point now, query_actions& out);
    // Sends to one service in the first step; returns false when it has no
    // replica to send to. Until send_first is called, a service that fails is
    // postponed and not retried: it could lose all its replicas to a query
    // that crashes them.
    bool send_step(query_shared& shared, time_point now, std::uint32_t s,
                   query_actions& out);
    // Sends a hedge for each open service, as far as the budget goes.
    void hedge(query_shared& shared, time_point now, query_actions& out);
    // Sends the retries and cancellations that results have led to.
    void flush(query_shared& shared, time_point now, query_actions& out);

    void on_part(query_shared& shared, time_point now, std::uint32_t batch,
                 host_id const& from, query_part part);
    void on_stream_failed(query_shared& shared, time_point now,
                          std::uint32_t batch, host_id const& from);

    // Sends what only waits for silent owners to other ones as well. The first
    // answer counts: an owner that was only paused may still be in time.
    void on_owner_silent(query_shared& shared, time_point now);

    // Cancels what is still open and forgets the request ids, so that
    // whatever still arrives for them counts as late.
    void end(query_shared& shared, query_actions& out);
    // Adds the time so far of open sub-requests to the latencies. Without it
    // the estimate would only learn from fast replicas.
    void sample_open(time_point now);

    run_view const& view() const { return view_; }
    coverage_counter& coverage() { return coverage_; }
    coverage_counter const& coverage() const { return coverage_; }
    record_merger& merger() { return merger_; }
    attempt_table& table() { return table_; }
    duration hedge_after() const { return hedge_after_; }
    bool gone() const { return gone_; }
    bool quarantined() const { return quarantined_; }
    std::uint32_t sent() const { return sent_; }
    std::uint32_t hedges() const { return hedges_; }

    // Whether any sub-request ran: not_run only when each of them is known
    // not to have run.
    run_state ran() const;

private:
    void send_plan(query_shared& shared, time_point now, attempt_kind kind,
                   query_actions& out);
    bool plan_hedge(query_shared& shared, time_point now, std::uint32_t s);
    void apply(query_shared& shared, time_point now, std::uint32_t batch,
               query_part& part);
    void on_merged(query_shared& shared, time_point now, sub_attempt& attempt,
                   target_result const& result);
    void on_failed(query_shared& shared, time_point now, sub_attempt& attempt,
                   sub_outcome outcome);
    void retry_postponed(query_shared& shared, time_point now,
                         query_actions& out);
    void close_rest(query_shared& shared, time_point now, std::uint32_t batch,
                    bool owner_lost);
    void note_failure(query_shared& shared, time_point now,
                      sub_attempt& attempt, sub_outcome outcome,
                      bool owner_lost);
    void cancel_others(time_point now, std::uint32_t s);
    resend_planner::context resends();
    void send_cancels(query_actions& out);

    input in_;
    run_view view_;
    attempt_table table_;
    coverage_counter coverage_;
    record_merger merger_;
    std::vector<std::pair<std::uint32_t, upstream_id>> cancels_; // by batch
    duration hedge_after_{};
    bool stepping_ = false;    // in the first step
    bool gone_ = false;        // a service lost the pinned version
    bool quarantined_ = false; // an owner refuses the fingerprint
    std::uint32_t sent_ = 0;
    std::uint32_t hedges_ = 0;
};

// Whether the outcome tells that the upstream did not run the request.
bool did_not_run(sub_outcome outcome);

} // namespace snipemill
