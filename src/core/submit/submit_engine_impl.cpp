#include "core/submit/submit_engine_impl.hpp"

#include "core/base/hash.hpp"
#include "core/quarantine/quarantine.hpp"
#include "core/submit/submit_target.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace snipemill {

namespace {

// Time after the deadline in which a claim is settled in the background. A
// claim that is not settled blocks its key until it is removed.
constexpr duration settle_time = from_ms(5000);
// Pause before a further read of the claim; doubles with every read up to the
// maximum, because every read counts against the platform's rate.
constexpr duration read_pause_unit = from_ms(50);
constexpr std::uint32_t max_read_doublings = 4;
// Pause before the outcome is written again; doubles with every write. With 3
// writes in 1 s, claims of a host that lived stayed "claimed" after an outage
// of 0.3 s, because its platform client refuses calls for up to 1.25 s then.
constexpr duration record_pause_unit = from_ms(500);
constexpr std::uint32_t max_records = 5;
constexpr duration max_deadline = from_ms(3'600'000);

claim_state state_of(submit_outcome const& outcome)
{
    if (std::holds_alternative<submit_answered>(outcome)) {
        return claim_state::done;
    }
    return std::holds_alternative<submit_not_run>(outcome)
               ? claim_state::not_run
               : claim_state::unknown;
}

} // namespace

submit_engine::impl::impl(submit_engine_settings const& settings,
                          std::uint32_t lane, std::uint32_t lanes,
                          std::uint64_t seed)
    : runs(settings.max_submits, lane), settings_(settings), lane_(lane),
      random_(seed), answers_(counters)
{
    assert(lane < lanes);
    static_cast<void>(lanes);
}

void submit_engine::impl::on_view(std::shared_ptr<routing_view const> view)
{
    if (view != nullptr && view->config != nullptr && view->owners != nullptr) {
        view_ = std::move(view);
    }
}

void submit_engine::impl::on_submit(time_point now, std::uint64_t wall_ms,
                                    std::uint64_t caller, caller_submit request,
                                    submit_actions& out)
{
    ++counters.submits;
    submit_run run{.caller = caller};
    auto refused = submit_refusal(view_.get(), request);
    if (!refused && runs.size() >= settings_.max_submits) {
        refused = failure{errc::overloaded, run_state::not_run,
                          "too many submits in flight"};
    }
    if (refused) {
        answers_.failed(run, *std::move(refused), false, out);
        return;
    }
    auto const wanted = request.deadline > duration{}
                            ? request.deadline
                            : settings_.default_deadline;
    run.deadline = now + std::min(wanted, max_deadline);
    run.give_up = run.deadline + settle_time;
    run.print = fingerprint_of(request.group, request.body);
    run.value = {.nonce = make_nonce(wall_ms),
                 .body_digest =
                     hash_combine(run.print.value, hash_bytes(request.service)),
                 .created = wall_ms};
    run.request = std::move(request);
    put(runs.add(std::move(run)), 0, out);
}

// Unique in the fleet: the host, its time of the submit, the lane, and random
// bits in case that a host name is used twice.
std::string submit_engine::impl::make_nonce(std::uint64_t wall_ms)
{
    return view_->self.value + "/" + std::to_string(wall_ms) + "/" +
           std::to_string(lane_) + "/" + std::to_string(++nonces_) + "/" +
           std::to_string(random_.next()) + std::to_string(random_.next());
}

void submit_engine::impl::put(slot_handle h, std::uint64_t if_version,
                              submit_actions& out)
{
    runs.find(h)->phase = submit_phase::claiming;
    auto const next = runs.renew(h);
    auto const& run = *runs.find(next);
    out.emplace_back(
        put_claim{.id = runs.id_of(next),
                  .key = claim_key(run.request.group, run.request.key),
                  .value = run.value,
                  .if_version = if_version});
}

void submit_engine::impl::read(slot_handle h, submit_actions& out)
{
    auto& run = *runs.find(h);
    run.phase = submit_phase::reading;
    ++run.reads;
    auto const next = runs.renew(h);
    auto const& moved = *runs.find(next);
    out.emplace_back(
        get_claim{.id = runs.id_of(next),
                  .key = claim_key(moved.request.group, moved.request.key)});
}

void submit_engine::impl::pause_read(time_point now, submit_run& run)
{
    auto const doublings = std::min(run.reads, max_read_doublings);
    run.phase = submit_phase::read_pause;
    run.resume = now + read_pause_unit * (1U << doublings);
    runs.schedule(run);
}

void submit_engine::impl::on_claim_written(time_point now, request_id id,
                                           claim_write result,
                                           std::uint64_t version,
                                           submit_actions& out)
{
    auto const h = runs.handle_of(id);
    auto const* const run = runs.find(h);
    if (run == nullptr) {
        return;
    }
    if (run->phase == submit_phase::claiming) {
        on_claim_put(now, h, result, version, out);
    }
    else if (run->phase == submit_phase::recording) {
        on_outcome_put(now, h, result, out);
    }
}

void submit_engine::impl::on_claim_put(time_point now, slot_handle h,
                                       claim_write result,
                                       std::uint64_t version,
                                       submit_actions& out)
{
    switch (result) {
    case claim_write::written:
        on_ours(now, h, version, out);
        break;
    case claim_write::not_sent:
        refuse(now, h, errc::platform_unavailable, out);
        break;
    case claim_write::ambiguous:
        on_ambiguous(now, h, out);
        break;
    case claim_write::conflict:
        read(h, out);
        break;
    }
}

void submit_engine::impl::on_ambiguous(time_point now, slot_handle h,
                                       submit_actions& out)
{
    auto& run = *runs.find(h);
    run.may_be_ours = true;
    if (run.reads == 0) {
        read(h, out);
        return;
    }
    pause_read(now, run);
}

void submit_engine::impl::on_claim_read(time_point now, request_id id,
                                        bool reachable,
                                        std::optional<claim> found,
                                        std::uint64_t version,
                                        submit_actions& out)
{
    auto const h = runs.handle_of(id);
    auto* const run = runs.find(h);
    if (run == nullptr || run->phase != submit_phase::reading) {
        return;
    }
    if (!reachable && run->may_be_ours) {
        pause_read(now, *run);
    }
    else if (!reachable) {
        refuse(now, h, errc::platform_unavailable, out);
    }
    else if (!found) {
        on_absent(now, h, out);
    }
    else if (found->nonce == run->value.nonce) {
        counters.claims_resolved += run->may_be_ours ? 1 : 0;
        on_ours(now, h, version, out);
    }
    else {
        on_others(now, h, *std::move(found), version, out);
    }
}

// There is no claim. A write that had no clear answer may still take effect,
// so the claim is written again with the same nonce: only one of the two
// writes can succeed.
void submit_engine::impl::on_absent(time_point now, slot_handle h,
                                    submit_actions& out)
{
    auto& run = *runs.find(h);
    if (run.answered) {
        pause_read(now, run);
        return;
    }
    put(h, 0, out);
}

void submit_engine::impl::on_ours(time_point now, slot_handle h,
                                  std::uint64_t version, submit_actions& out)
{
    auto& run = *runs.find(h);
    run.version = version;
    if (run.answered) {
        settle(h, submit_not_run{errc::deadline_exceeded}, out);
        return;
    }
    dispatch(now, h, errc::upstream_unreachable, out);
}

void submit_engine::impl::on_others(time_point now, slot_handle h, claim found,
                                    std::uint64_t version, submit_actions& out)
{
    auto& run = *runs.find(h);
    if (found.state == claim_state::not_run &&
        found.body_digest == run.value.body_digest) {
        if (run.answered) {
            pause_read(now, run);
            return;
        }
        put(h, version, out);
        return;
    }
    if (run.answered) {
        runs.end(h);
        return;
    }
    if (found.body_digest != run.value.body_digest) {
        answers_.failed(run,
                        {errc::key_reused, run_state::not_run,
                         "the key was used with another body"},
                        false, out);
    }
    else if (found.state == claim_state::done) {
        answers_.done(run, std::move(found.answer), true, out);
    }
    else if (found.state == claim_state::unknown) {
        answers_.failed(run,
                        {errc::upstream_reset, run_state::unknown,
                         "the outcome of the first request is unknown"},
                        true, out);
    }
    else {
        answers_.failed(run,
                        {errc::in_progress, run_state::unknown,
                         "another request with this key has been started"},
                        false, out);
    }
    runs.end(h);
}

// Sends the request to the next replica. The deadline is checked here because
// the claim may have taken all the time.
void submit_engine::impl::dispatch(time_point now, slot_handle h,
                                   errc reason_if_none, submit_actions& out)
{
    auto& run = *runs.find(h);
    if (now >= run.deadline) {
        settle(h, submit_not_run{errc::deadline_exceeded}, out);
        return;
    }
    auto const target = choose_submit_target(*view_, run.request, run.tried);
    if (!target || run.tried.size() >= settings_.max_attempts) {
        settle(h, submit_not_run{reason_if_none}, out);
        return;
    }
    run.tried.push_back(target->upstream);
    run.phase = submit_phase::forwarded;
    auto const next = runs.renew(h);
    auto const& moved = *runs.find(next);
    out.emplace_back(
        forward_submit{.to = target->owner,
                       .request = {.id = runs.id_of(next),
                                   .group = moved.request.group,
                                   .key = moved.request.key,
                                   .body = moved.request.body,
                                   .target = target->upstream,
                                   .remaining = moved.deadline - now,
                                   .print = moved.print}});
}

void submit_engine::impl::on_result(time_point now, submit_result result,
                                    submit_actions& out)
{
    auto const h = runs.handle_of(result.id);
    auto const* const run = runs.find(h);
    if (run != nullptr && run->phase == submit_phase::forwarded) {
        on_outcome(now, h, std::move(result.outcome), out);
    }
}

void submit_engine::impl::on_forward_failed(time_point now, request_id id,
                                            bool sent, submit_actions& out)
{
    auto const h = runs.handle_of(id);
    auto const* const run = runs.find(h);
    if (run == nullptr || run->phase != submit_phase::forwarded) {
        return;
    }
    if (sent) {
        on_outcome(now, h, submit_unknown{errc::peer_unreachable}, out);
    }
    else {
        on_outcome(now, h, submit_not_run{errc::peer_unreachable}, out);
    }
}

// A request that certainly did not run may be tried on another replica,
// unless its caller has been answered or it is refused everywhere.
void submit_engine::impl::on_outcome(time_point now, slot_handle h,
                                     submit_outcome outcome,
                                     submit_actions& out)
{
    auto const* const not_run = std::get_if<submit_not_run>(&outcome);
    auto const again = not_run != nullptr && !runs.find(h)->answered &&
                       not_run->reason != errc::quarantined;
    if (again) {
        dispatch(now, h, not_run->reason, out);
        return;
    }
    settle(h, std::move(outcome), out);
}

// The outcome is certain from here on. It is written to the claim before the
// caller is answered, so that a resend finds it.
void submit_engine::impl::settle(slot_handle h, submit_outcome outcome,
                                 submit_actions& out)
{
    auto& run = *runs.find(h);
    run.value.state = state_of(outcome);
    if (auto const* it = std::get_if<submit_answered>(&outcome)) {
        run.value.answer = *it;
    }
    run.outcome = std::move(outcome);
    record(h, out);
}

void submit_engine::impl::record(slot_handle h, submit_actions& out)
{
    auto& run = *runs.find(h);
    run.phase = submit_phase::recording;
    ++run.records;
    auto const next = runs.renew(h);
    auto const& moved = *runs.find(next);
    out.emplace_back(
        put_claim{.id = runs.id_of(next),
                  .key = claim_key(moved.request.group, moved.request.key),
                  .value = moved.value,
                  .if_version = moved.version});
}

void submit_engine::impl::on_outcome_put(time_point now, slot_handle h,
                                         claim_write result,
                                         submit_actions& out)
{
    auto& run = *runs.find(h);
    if (!run.answered) {
        answers_.outcome(run, out);
    }
    auto const failed =
        result == claim_write::not_sent || result == claim_write::ambiguous;
    if (!failed || run.records >= max_records) {
        runs.end(h);
        return;
    }
    run.phase = submit_phase::record_pause;
    run.resume = now + record_pause_unit * (1U << (run.records - 1));
    runs.schedule(run);
}

void submit_engine::impl::refuse(time_point now, slot_handle h, errc code,
                                 submit_actions& out)
{
    auto& run = *runs.find(h);
    if (!run.answered) {
        answers_.failed(
            run, {code, run_state::not_run, "the key could not be claimed"},
            false, out);
    }
    if (!run.may_be_ours) {
        runs.end(h);
        return;
    }
    if (run.phase == submit_phase::claiming) {
        pause_read(now, run);
    }
    runs.schedule(run);
}

void submit_engine::impl::on_timer(time_point now, submit_actions& out)
{
    while (auto const due = runs.fire(now)) {
        auto const h = *due;
        auto& run = *runs.find(h);
        if (!run.answered && now >= run.deadline) {
            on_deadline(now, h, out);
        }
        else if (now >= run.give_up) {
            on_give_up(now, h, out);
        }
        else if (run.phase == submit_phase::read_pause) {
            read(h, out);
        }
        else if (run.phase == submit_phase::record_pause) {
            record(h, out);
        }
    }
}

void submit_engine::impl::on_deadline(time_point now, slot_handle h,
                                      submit_actions& out)
{
    auto& run = *runs.find(h);
    switch (run.phase) {
    case submit_phase::claiming:
        // The write is out; its result decides how the run goes on.
        answers_.failed(run,
                        {errc::deadline_exceeded, run_state::not_run,
                         "the key could not be claimed in time"},
                        false, out);
        break;
    case submit_phase::reading:
    case submit_phase::read_pause:
        refuse(now, h, errc::deadline_exceeded, out);
        return;
    case submit_phase::forwarded:
        answers_.failed(run,
                        {errc::deadline_exceeded, run_state::unknown,
                         "the request may have run"},
                        false, out);
        break;
    case submit_phase::recording:
    case submit_phase::record_pause:
        answers_.outcome(run, out);
        break;
    }
    runs.schedule(run);
}

// Nothing came back in time. A request that an owner has is recorded as
// unknown; after that, and in all other phases, the claim stays as it is.
void submit_engine::impl::on_give_up(time_point now, slot_handle h,
                                     submit_actions& out)
{
    auto& run = *runs.find(h);
    if (run.phase != submit_phase::forwarded) {
        runs.end(h);
        return;
    }
    run.give_up = now + settle_time;
    settle(h, submit_unknown{errc::deadline_exceeded}, out);
}

} // namespace snipemill
