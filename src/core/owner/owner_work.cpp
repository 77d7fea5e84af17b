#include "core/owner/owner_work.hpp"

#include <utility>

namespace snipemill {

namespace {

// Work for which memory is reserved at the start; more is allocated on demand.
constexpr std::size_t expected_batches = 1024;
constexpr std::size_t expected_submits = 64;
constexpr std::size_t expected_describes = 16;

} // namespace

owner_work::owner_work(timer_queue& timers, owner_counters& counters)
    : timers_(&timers), counters_(&counters), batches_(expected_batches),
      submits_(expected_submits), describes_(expected_describes),
      peers_(expected_batches)
{
    touched_.reserve(expected_batches);
}

slot_handle owner_work::add_batch(time_point now, peer_handle peer,
                                  query_batch batch)
{
    auto const h = batches_.insert(owner_batch(now, peer, std::move(batch)));
    auto& it = *batches_.find(h);
    it.timer = timers_->add(it.next_due(now), {timer_kind::batch, h.packed()});
    peers_.add(peer, peer_work::batch, h);
    return h;
}

void owner_work::finish(slot_handle h, std::size_t target, target_result result,
                        sub_answer answer)
{
    batches_.find(h)->finish(target, std::move(result), std::move(answer));
    touch(h);
}

void owner_work::touch(slot_handle h)
{
    auto& it = *batches_.find(h);
    if (!it.touched) {
        it.touched = true;
        touched_.push_back(h);
    }
}

void owner_work::send_parts(time_point now, owner_actions& out)
{
    for (auto const h : touched_) {
        auto* const it = batches_.find(h);
        if (it == nullptr) {
            continue;
        }
        it->touched = false;
        if (!it->part_due(now)) {
            continue;
        }
        out.emplace_back(send_part{it->peer(), it->take_part(merger_)});
        ++counters_->parts;
        if (it->done()) {
            drop_batch(h);
        }
    }
    touched_.clear();
}

void owner_work::drop_batch(slot_handle h)
{
    auto const& it = *batches_.find(h);
    timers_->remove(it.timer);
    peers_.remove(it.peer(), peer_work::batch, h);
    batches_.erase(h);
}

slot_handle owner_work::add_submit(time_point now, peer_handle peer,
                                   submit_forward request)
{
    auto const deadline = deadline_after(now, request.remaining);
    auto const h = submits_.insert(
        {.peer = peer, .request = std::move(request), .deadline = deadline});
    submits_.find(h)->timer =
        timers_->add(deadline, {timer_kind::submit, h.packed()});
    peers_.add(peer, peer_work::submit, h);
    return h;
}

void owner_work::finish_submit(slot_handle h, submit_outcome outcome,
                               owner_actions& out)
{
    auto const& it = *submits_.find(h);
    if (!it.peer_gone) {
        out.emplace_back(send_submit_result{
            it.peer, {.id = it.request.id, .outcome = std::move(outcome)}});
    }
    drop_submit(h);
}

void owner_work::drop_submit(slot_handle h)
{
    auto const& it = *submits_.find(h);
    timers_->remove(it.timer);
    peers_.remove(it.peer, peer_work::submit, h);
    submits_.erase(h);
}

slot_handle owner_work::add_describe(time_point due, peer_handle peer,
                                     describe_request request)
{
    auto const h =
        describes_.insert({.peer = peer, .request = std::move(request)});
    describes_.find(h)->timer =
        timers_->add(due, {timer_kind::describe, h.packed()});
    peers_.add(peer, peer_work::describe, h);
    return h;
}

void owner_work::finish_describe(slot_handle h, describe_answer answer,
                                 owner_actions& out)
{
    out.emplace_back(
        send_described{describes_.find(h)->peer, std::move(answer)});
    drop_describe(h);
}

void owner_work::drop_describe(slot_handle h)
{
    auto const& it = *describes_.find(h);
    timers_->remove(it.timer);
    peers_.remove(it.peer, peer_work::describe, h);
    describes_.erase(h);
}

void owner_work::list_describes(std::vector<slot_handle>& out)
{
    if (describes_.empty()) {
        return;
    }
    describes_.for_each(
        [&](slot_handle h, owner_describe const&) { out.push_back(h); });
}

} // namespace snipemill
