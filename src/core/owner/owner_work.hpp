#pragma once

#include "core/owner/owner_batch.hpp"
#include "core/owner/peer_index.hpp"
#include "core/owner/run_merger.hpp"
#include "core/owner/timer_queue.hpp"

#include <cstddef>
#include <vector>

namespace snipemill {

// A submit that waits for or runs on its upstream.
struct owner_submit
{
    peer_handle peer = 0;
    submit_forward request;
    time_point deadline{};
    slot_handle job;
    timer_id timer = 0;
    bool peer_gone = false; // nobody waits for the result
};

// A describe request that waits for the first status of an upstream.
struct owner_describe
{
    peer_handle peer = 0;
    describe_request request;
    timer_id timer = 0;
};

// The batches, submits and describe requests that have not been answered, by
// handle and by peer. Sends each answer once.
class owner_work
{
public:
    owner_work(timer_queue& timers, owner_counters& counters);

    slot_handle add_batch(time_point now, peer_handle peer, query_batch batch);
    owner_batch* batch(slot_handle h) { return batches_.find(h); }
    // Records a result; the part is sent by send_parts.
    void finish(slot_handle h, std::size_t target, target_result result,
                sub_answer answer = {});
    // Has send_parts look at the batch.
    void touch(slot_handle h);
    // Sends the parts that are due and forgets batches that are done.
    void send_parts(time_point now, owner_actions& out);
    void drop_batch(slot_handle h);

    slot_handle add_submit(time_point now, peer_handle peer,
                           submit_forward request);
    owner_submit* submit(slot_handle h) { return submits_.find(h); }
    void finish_submit(slot_handle h, submit_outcome outcome,
                       owner_actions& out);
    void drop_submit(slot_handle h);

    slot_handle add_describe(time_point due, peer_handle peer,
                             describe_request request);
    owner_describe* describe(slot_handle h) { return describes_.find(h); }
    void finish_describe(slot_handle h, describe_answer answer,
                         owner_actions& out);
    void drop_describe(slot_handle h);
    void list_describes(std::vector<slot_handle>& out);

    void find(peer_handle peer, std::vector<peer_index::entry>& out) const
    {
        peers_.find(peer, out);
    }

private:
    timer_queue* timers_;
    owner_counters* counters_;
    slot_map<owner_batch> batches_;
    slot_map<owner_submit> submits_;
    slot_map<owner_describe> describes_;
    peer_index peers_;
    run_merger merger_;
    std::vector<slot_handle> touched_;
};

} // namespace snipemill
