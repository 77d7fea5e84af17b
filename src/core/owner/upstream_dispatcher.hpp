#pragma once

#include "core/owner/admission.hpp"
#include "core/owner/owner_work.hpp"
#include "core/owner/upstream_health.hpp"
#include "core/owner/upstream_roster.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace snipemill {

// Takes each target of a batch and each submit through the limiter and the
// queue of its upstream, and turns what the adapter reports into results.
class upstream_dispatcher
{
public:
    upstream_dispatcher(upstream_roster& roster, owner_work& work,
                        timer_queue& timers, owner_counters& counters);

    void on_batch(time_point now, peer_handle peer, query_batch batch,
                  owner_actions& out);
    void on_submit(time_point now, peer_handle peer, submit_forward request,
                   owner_actions& out);
    void on_cancel_targets(time_point now, peer_handle peer,
                           std::vector<upstream_id> const& targets,
                           owner_actions& out);
    void on_peer_gone(time_point now, peer_handle peer, owner_actions& out);
    void on_sub_answer(time_point now, slot_handle handle, sub_answer answer,
                       owner_actions& out);
    void on_sub_failed(time_point now, slot_handle handle,
                       sub_failure const& failed, owner_actions& out);
    void on_submit_result(time_point now, slot_handle handle,
                          submit_result result, owner_actions& out);
    void set_quarantine(std::vector<fingerprint> const& prints)
    {
        admission_.set_quarantine(prints);
    }
    void on_batch_timer(time_point now, slot_handle batch, owner_actions& out);
    void on_submit_timer(slot_handle submit, owner_actions& out);

    // Brings the limiter in line with the view and the draining mark.
    void apply_state(time_point now, owned_upstream& u, owner_actions& out);
    void refuse_queue(owned_upstream& u, sub_outcome outcome,
                      owner_actions& out);
    // Dispatches what the limiter allows and sets the upstream's timer.
    void pump(time_point now, owned_upstream& u, owner_actions& out);
    // Forgets an upstream that is no longer owned and has nothing in flight.
    void retire(owned_upstream& u);
    upstream_health& health() { return health_; }
    std::size_t jobs() const { return jobs_.size(); }

private:
    // One sub-request or submit, from its admission until the adapter has
    // reported back.
    struct job
    {
        owned_upstream* upstream = nullptr;
        slot_handle work; // batch or submit
        std::uint32_t target = 0;
        fingerprint print;
        index_version version; // pinned; 0 for a submit
        time_point started{};
        bool submit = false;
        bool dispatched = false;
        bool reported = false; // cancelled or timed out; result is dropped

        finished_request finished() const
        {
            return {.print = print,
                    .version = version,
                    .started = started,
                    .abandoned = reported};
        }
    };

    void admit(time_point now, slot_handle batch, std::size_t target,
               owner_actions& out);
    void enqueue(owned_upstream& u, waiting_job const& waiting,
                 owner_actions& out);
    void start(time_point now, slot_handle h, owner_actions& out);
    void start_query(time_point now, slot_handle h, owner_actions& out);
    void start_submit(time_point now, slot_handle h, owner_actions& out);
    static bool too_late(time_point now, owned_upstream const& u,
                         waiting_job const& next);
    bool start_next(time_point now, owned_upstream& u, owner_actions& out);
    // Ends a job that was not dispatched.
    void refuse(slot_handle h, sub_outcome outcome, owner_actions& out);
    void finish(job const& it, sub_outcome outcome, duration latency = {},
                sub_answer answer = {});
    void note_cancelled(time_point now, slot_handle h);
    void abandon(slot_handle h, owner_actions& out);
    void drop_batch(time_point now, slot_handle batch, owner_actions& out);
    void drop_submit(slot_handle submit, owner_actions& out);
    void release(time_point now, slot_handle h, owner_actions& out);
    void schedule(owned_upstream& u);

    upstream_roster* roster_;
    owner_work* work_;
    timer_queue* timers_;
    owner_counters* counters_;
    upstream_health health_;
    slot_map<job> jobs_;
    admission admission_;
    std::vector<peer_index::entry> found_; // working memory
};

} // namespace snipemill
