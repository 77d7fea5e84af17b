#include "core/owner/upstream_dispatcher.hpp"

#include "core/owner/answer_check.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace snipemill {

namespace {

// Jobs for which memory is reserved at the start.
constexpr std::size_t expected_jobs = 4096;

// Why a submit did not run when a query would have had this outcome.
errc submit_refusal(sub_outcome outcome)
{
    switch (outcome) {
    case sub_outcome::draining:
        return errc::upstream_draining;
    case sub_outcome::quarantined:
        return errc::quarantined;
    case sub_outcome::timed_out:
        return errc::deadline_exceeded;
    case sub_outcome::not_owner:
        return errc::upstream_unreachable;
    default:
        return errc::overloaded;
    }
}

} // namespace

upstream_dispatcher::upstream_dispatcher(upstream_roster& roster,
                                         owner_work& work, timer_queue& timers,
                                         owner_counters& counters)
    : roster_(&roster), work_(&work), timers_(&timers), counters_(&counters),
      health_(counters), jobs_(expected_jobs)
{}

void upstream_dispatcher::on_batch(time_point now, peer_handle peer,
                                   query_batch batch, owner_actions& out)
{
    auto const h = work_->add_batch(now, peer, std::move(batch));
    work_->touch(h);
    auto const n = work_->batch(h)->size();
    for (std::size_t i = 0; i < n; ++i) {
        admit(now, h, i, out);
    }
    work_->send_parts(now, out);
}

void upstream_dispatcher::admit(time_point now, slot_handle batch,
                                std::size_t target, owner_actions& out)
{
    auto& b = *work_->batch(batch);
    auto* const u = roster_->find(b.target(target).upstream);
    if (auto const outcome = admission_.refusal(now, u, b)) {
        count_outcome(*counters_, *outcome);
        auto const condition =
            u == nullptr ? upstream_condition::unknown : u->condition();
        work_->finish(batch, target,
                      {.upstream = b.target(target).upstream,
                       .outcome = *outcome,
                       .condition = condition});
        return;
    }
    auto const h = jobs_.insert({.upstream = u,
                                 .work = batch,
                                 .target = static_cast<std::uint32_t>(target),
                                 .print = b.request().print,
                                 .version = b.request().version});
    b.set_job(target, h);
    if (u->queue.empty() && u->limiter.may_start(now, u->in_flight)) {
        start(now, h, out);
        return;
    }
    enqueue(
        *u,
        {.job = h, .deadline = b.deadline(), .priority = b.request().priority},
        out);
    pump(now, *u, out);
}

void upstream_dispatcher::on_submit(time_point now, peer_handle peer,
                                    submit_forward request, owner_actions& out)
{
    auto* const u = roster_->find(request.target);
    auto const refused = admission_.refusal(u, request);
    auto const print = request.print;
    auto const work = work_->add_submit(now, peer, std::move(request));
    if (refused) {
        count_outcome(*counters_, *refused);
        work_->finish_submit(work, submit_not_run{submit_refusal(*refused)},
                             out);
        return;
    }
    auto const h = jobs_.insert(
        {.upstream = u, .work = work, .print = print, .submit = true});
    auto& s = *work_->submit(work);
    s.job = h;
    enqueue(*u, {.job = h, .deadline = s.deadline, .submit = true}, out);
    pump(now, *u, out);
    work_->send_parts(now, out);
}

void upstream_dispatcher::enqueue(owned_upstream& u, waiting_job const& waiting,
                                  owner_actions& out)
{
    if (auto const refused = u.queue.push(waiting)) {
        refuse(refused->job, sub_outcome::refused, out);
    }
}

void upstream_dispatcher::pump(time_point now, owned_upstream& u,
                               owner_actions& out)
{
    while (start_next(now, u, out)) {
    }
    schedule(u);
}

// A request that would be cancelled before its answer uses a slot for nothing.
// Under overload the earliest deadline is always such a request, and an
// upstream whose work is all cancelled never warms up. A request that finds
// the queue empty is not asked, so that the latency can be learned again.
// Submits are not cancelled.
bool upstream_dispatcher::too_late(time_point now, owned_upstream const& u,
                                   waiting_job const& next)
{
    auto const needed = next.submit ? duration{} : u.limiter.latency_quantile();
    return next.deadline - now <= needed;
}

// Returns whether another job may follow.
bool upstream_dispatcher::start_next(time_point now, owned_upstream& u,
                                     owner_actions& out)
{
    if (u.queue.empty() || !u.limiter.may_start(now, u.in_flight)) {
        return false;
    }
    auto const next = *u.queue.pop();
    if (too_late(now, u, next)) {
        refuse(next.job, sub_outcome::timed_out, out);
    }
    else if (admission_.quarantined(jobs_.find(next.job)->print)) {
        refuse(next.job, sub_outcome::quarantined, out);
    }
    else {
        start(now, next.job, out);
    }
    return true;
}

void upstream_dispatcher::start(time_point now, slot_handle h,
                                owner_actions& out)
{
    auto& it = *jobs_.find(h);
    assert(!it.dispatched);
    it.dispatched = true;
    it.started = now;
    it.upstream->on_dispatched();
    it.upstream->limiter.on_start(now);
    ++counters_->dispatched;
    if (it.submit) {
        start_submit(now, h, out);
    }
    else {
        start_query(now, h, out);
    }
}

void upstream_dispatcher::start_query(time_point now, slot_handle h,
                                      owner_actions& out)
{
    auto const& it = *jobs_.find(h);
    auto const& b = *work_->batch(it.work);
    auto const& request = b.request();
    out.emplace_back(dispatch_query{.handle = h,
                                    .upstream = it.upstream->id(),
                                    .request = {.print = request.print,
                                                .version = request.version,
                                                .remaining = b.deadline() - now,
                                                .group = request.group,
                                                .body = request.body,
                                                .limit = request.limit,
                                                .order = request.order}});
}

void upstream_dispatcher::start_submit(time_point now, slot_handle h,
                                       owner_actions& out)
{
    auto const& it = *jobs_.find(h);
    auto const& s = *work_->submit(it.work);
    auto request = s.request;
    request.remaining = s.deadline - now;
    out.emplace_back(dispatch_submit{.handle = h,
                                     .upstream = it.upstream->id(),
                                     .request = std::move(request)});
}

void upstream_dispatcher::refuse(slot_handle h, sub_outcome outcome,
                                 owner_actions& out)
{
    auto const& it = *jobs_.find(h);
    assert(!it.dispatched);
    if (it.submit) {
        count_outcome(*counters_, outcome);
        work_->finish_submit(it.work, submit_not_run{submit_refusal(outcome)},
                             out);
    }
    else {
        finish(it, outcome);
    }
    jobs_.erase(h);
}

// Reports the result of a query's target.
void upstream_dispatcher::finish(job const& it, sub_outcome outcome,
                                 duration latency, sub_answer answer)
{
    count_outcome(*counters_, outcome);
    auto const& u = *it.upstream;
    work_->finish(it.work, it.target,
                  {.upstream = u.id(),
                   .outcome = outcome,
                   .condition = u.condition(),
                   .held = u.held_versions,
                   .latency = latency},
                  std::move(answer));
}

void upstream_dispatcher::on_cancel_targets(
    time_point now, peer_handle peer, std::vector<upstream_id> const& targets,
    owner_actions& out)
{
    found_.clear();
    work_->find(peer, found_);
    for (auto const& it : found_) {
        if (it.kind != peer_work::batch) {
            continue;
        }
        for (auto const id : targets) {
            auto const i = work_->batch(it.handle)->position(id);
            if (!i || work_->batch(it.handle)->target(*i).done) {
                continue;
            }
            auto const h = work_->batch(it.handle)->target(*i).job;
            finish(*jobs_.find(h), sub_outcome::cancelled);
            note_cancelled(now, h);
            abandon(h, out);
        }
    }
    work_->send_parts(now, out);
}

// Roots cancel at the deadline, mostly just before the owner's own timer.
void upstream_dispatcher::note_cancelled(time_point now, slot_handle h)
{
    auto const& it = *jobs_.find(h);
    if (it.dispatched && !it.submit) {
        it.upstream->limiter.on_given_up(now - it.started);
    }
}

// Takes a job out of the queue, or has the adapter cancel it; its slot then
// counts as used until the adapter reports back.
void upstream_dispatcher::abandon(slot_handle h, owner_actions& out)
{
    auto& it = *jobs_.find(h);
    auto& u = *it.upstream;
    if (it.dispatched) {
        it.reported = true;
        out.emplace_back(cancel_dispatch{.handle = h, .upstream = u.id()});
        return;
    }
    u.queue.remove(h);
    jobs_.erase(h);
    schedule(u);
}

void upstream_dispatcher::on_peer_gone(time_point now, peer_handle peer,
                                       owner_actions& out)
{
    found_.clear();
    work_->find(peer, found_);
    for (auto const& it : found_) {
        switch (it.kind) {
        case peer_work::batch:
            drop_batch(now, it.handle, out);
            break;
        case peer_work::submit:
            drop_submit(it.handle, out);
            break;
        case peer_work::describe:
            work_->drop_describe(it.handle);
            break;
        }
    }
}

void upstream_dispatcher::drop_batch(time_point now, slot_handle batch,
                                     owner_actions& out)
{
    auto const& b = *work_->batch(batch);
    for (std::size_t i = 0; i < b.size(); ++i) {
        if (!b.target(i).done) {
            count_outcome(*counters_, sub_outcome::cancelled);
            note_cancelled(now, b.target(i).job);
            abandon(b.target(i).job, out);
        }
    }
    work_->drop_batch(batch);
}

void upstream_dispatcher::drop_submit(slot_handle submit, owner_actions& out)
{
    auto& s = *work_->submit(submit);
    if (jobs_.find(s.job)->dispatched) {
        s.peer_gone = true;
        return;
    }
    count_outcome(*counters_, sub_outcome::cancelled);
    abandon(s.job, out);
    work_->drop_submit(submit);
}

void upstream_dispatcher::on_batch_timer(time_point now, slot_handle batch,
                                         owner_actions& out)
{
    auto& b = *work_->batch(batch);
    work_->touch(batch);
    if (now < b.deadline()) {
        timers_->move(b.timer, b.next_due(now));
        work_->send_parts(now, out);
        return;
    }
    for (std::size_t i = 0; i < b.size(); ++i) {
        if (b.target(i).done) {
            continue;
        }
        auto const h = b.target(i).job;
        auto const& it = *jobs_.find(h);
        if (it.dispatched) {
            it.upstream->limiter.on_timeout(now - it.started);
        }
        finish(it, sub_outcome::timed_out);
        abandon(h, out);
    }
    work_->send_parts(now, out);
}

// A submit that has been dispatched is left to the adapter, which reports
// once in any case.
void upstream_dispatcher::on_submit_timer(slot_handle submit,
                                          owner_actions& out)
{
    auto const h = work_->submit(submit)->job;
    if (jobs_.find(h)->dispatched) {
        return;
    }
    auto& u = *jobs_.find(h)->upstream;
    u.queue.remove(h);
    refuse(h, sub_outcome::timed_out, out);
    schedule(u);
}

void upstream_dispatcher::on_sub_answer(time_point now, slot_handle handle,
                                        sub_answer answer, owner_actions& out)
{
    auto const* const it = jobs_.find(handle);
    if (it == nullptr) {
        return;
    }
    if (!it->reported) {
        auto const& request = work_->batch(it->work)->request();
        auto const latency = now - it->started;
        auto const outcome =
            check_answer(answer, request.version, request.order, request.limit);
        health_.on_answer(now, *it->upstream, it->finished(), outcome);
        if (outcome == sub_outcome::merged) {
            it->upstream->note_answer(answer);
            finish(*it, outcome, latency, std::move(answer));
        }
        else {
            finish(*it, outcome);
        }
    }
    release(now, handle, out);
}

void upstream_dispatcher::on_sub_failed(time_point now, slot_handle handle,
                                        sub_failure const& failed,
                                        owner_actions& out)
{
    auto const* const it = jobs_.find(handle);
    if (it == nullptr) {
        return;
    }
    assert(failed.outcome != sub_outcome::merged);
    health_.on_failed(now, *it->upstream, it->finished(), failed, out);
    if (!it->reported) {
        finish(*it, failed.outcome);
    }
    release(now, handle, out);
}

void upstream_dispatcher::on_submit_result(time_point now, slot_handle handle,
                                           submit_result result,
                                           owner_actions& out)
{
    auto const* const it = jobs_.find(handle);
    if (it == nullptr) {
        return;
    }
    health_.on_submit(now, *it->upstream, it->finished(), result.outcome, out);
    work_->finish_submit(it->work, std::move(result.outcome), out);
    release(now, handle, out);
}

// The adapter has reported back: the slot is free.
void upstream_dispatcher::release(time_point now, slot_handle h,
                                  owner_actions& out)
{
    auto& u = *jobs_.find(h)->upstream;
    jobs_.erase(h);
    --u.in_flight;
    apply_state(now, u, out);
    retire(u);
    work_->send_parts(now, out);
}

void upstream_dispatcher::apply_state(time_point now, owned_upstream& u,
                                      owner_actions& out)
{
    auto const closed = u.closed_state();
    if (!closed) {
        if (!u.limiter.open()) {
            u.limiter.reopen();
        }
        pump(now, u, out);
        return;
    }
    u.limiter.close(*closed);
    if (u.queue.empty()) {
        return;
    }
    refuse_queue(u, sub_outcome::draining, out);
}

void upstream_dispatcher::refuse_queue(owned_upstream& u, sub_outcome outcome,
                                       owner_actions& out)
{
    while (auto const it = u.queue.pop()) {
        refuse(it->job, outcome, out);
    }
    schedule(u);
}

void upstream_dispatcher::retire(owned_upstream& u)
{
    if (u.role == ownership_role::none && u.in_flight == 0) {
        assert(u.queue.empty());
        timers_->remove(u.timer);
        roster_->remove(u.id());
    }
}

void upstream_dispatcher::schedule(owned_upstream& u)
{
    auto at = u.poll_due();
    if (!u.queue.empty()) {
        at = std::min(at, u.limiter.next_start(u.in_flight).value_or(at));
    }
    if (at != u.timer_at) {
        u.timer_at = at;
        timers_->move(u.timer, at);
    }
}

} // namespace snipemill
