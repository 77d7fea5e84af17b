#pragma once

#include "core/query/query_shared.hpp"
#include "core/query/snapshot_run.hpp"

#include <cstdint>
#include <string>

namespace snipemill {

// State of one query from its acceptance to its answer. Objects are reused
// for later queries, so that vectors keep their memory.
class query_run
{
public:
    // Accepts the query. begin or wait_for_description must follow.
    void start(query_shared& shared, time_point now, slot_handle self,
               caller_handle caller, caller_query query,
               group_object const& group);

    // Holds the query back until begin is called or the time has passed.
    void wait_for_description(time_point now);
    bool waiting() const { return phase_ == run_phase::waiting; }

    // Chooses the snapshot in the newest view and sends the first batches.
    void begin(query_shared& shared, time_point now, query_actions& out);

    void on_part(query_shared& shared, time_point now, std::uint32_t batch,
                 host_id const& from, query_part part, query_actions& out);
    void on_stream_failed(query_shared& shared, time_point now,
                          std::uint32_t batch, host_id const& from,
                          query_actions& out);
    void on_owner_silent(query_shared& shared, time_point now,
                         query_actions& out);
    void on_timer(query_shared& shared, time_point now, query_actions& out);

    // Cancels everything without an answer, because the caller is gone.
    void abandon(query_shared& shared, query_actions& out);

    time_point due() const;
    bool done() const { return phase_ == run_phase::done; }
    caller_handle caller() const { return caller_; }
    std::string const& group() const { return query_.group; }

    // When the engine's timer is set to call on_timer.
    time_point scheduled = time_point::max();

private:
    enum class run_phase : std::uint8_t
    {
        waiting,  // for descriptions of upstreams
        stepping, // one upstream tries the query first
        running,
        done
    };

    void send_first(query_shared& shared, time_point now, query_actions& out);
    void start_step(query_shared& shared, time_point now, query_actions& out);
    // Return false when there is nothing to send to.
    bool send_step(query_shared& shared, time_point now, query_actions& out);
    bool send_step(query_shared& shared, time_point now, bool postponed,
                   query_actions& out);
    void check_step(query_shared& shared, time_point now, query_actions& out);

    // Decides what follows after an event: retries, a re-run, the answer.
    void settle(query_shared& shared, time_point now, query_actions& out);
    bool rerun(query_shared& shared, time_point now, query_actions& out);
    bool early_answer_due(time_point now) const;

    void finish(query_shared& shared, time_point now, bool cut,
                query_actions& out);
    void end_quarantined(query_shared& shared, query_actions& out);
    void answer(query_shared& shared, bool cut, coverage_report coverage,
                query_actions& out);
    void refuse(query_shared& shared, errc code, std::string detail,
                query_actions& out);
    void fail(query_shared& shared, failure what, query_actions& out);
    bool enough(coverage_report const& coverage) const;
    coverage_report report(query_shared& shared);

    run_phase phase_ = run_phase::done;
    caller_handle caller_ = 0;
    caller_query query_;
    group_object settings_;
    snapshot_run::input input_;
    snapshot_run run_;

    time_point deadline_{};
    duration time_allowed_{};
    double min_coverage_ = 1;
    time_point describe_until_ = time_point::max();
    time_point hedge_at_ = time_point::max();
    time_point early_at_ = time_point::max(); // latency preference only
    bool early_checked_ = false;

    std::uint32_t step_service_ = 0;
    std::uint32_t step_sent_ = 0;
    std::uint32_t step_failed_ = 0; // sub-requests that may have run, all runs
    // Of an earlier run.
    std::uint32_t sent_before_ = 0;
    std::uint32_t hedges_before_ = 0;
    std::uint32_t reruns_ = 0;
};

} // namespace snipemill
