#include "core/query/snapshot_run.hpp"

#include "core/query/batch_sender.hpp"
#include "core/query/part_check.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

bool did_not_run(sub_outcome outcome)
{
    switch (outcome) {
    case sub_outcome::version_gone:
    case sub_outcome::shed:
    case sub_outcome::refused:
    case sub_outcome::hedge_refused:
    case sub_outcome::not_owner:
    case sub_outcome::unreachable:
    case sub_outcome::quarantined:
    case sub_outcome::draining:
        return true;
    default:
        return false;
    }
}

void snapshot_run::reset(query_shared& shared, input const& in, run_view view)
{
    in_ = in;
    view_ = std::move(view);
    in_.pattern.version = view_.version;
    auto const map = shared.catalogue.find_map(view_.group, view_.version);
    coverage_.reset(map.partition_count);
    if (map.contradictory) {
        coverage_.distrust();
    }
    merger_.reset(in_.pattern.order, in_.pattern.limit);
    table_.reset(view_.group_entry().services.size());
    cancels_.clear();
    hedge_after_ = in_.load->latency.estimate(in_.hedge_quantile)
                       .value_or(shared.settings.default_hedge_after);
    stepping_ = false;
    gone_ = false;
    quarantined_ = false;
    sent_ = 0;
    hedges_ = 0;
}

void snapshot_run::send_first(query_shared& shared, time_point now,
                              query_actions& out)
{
    stepping_ = false;
    auto const n = static_cast<std::uint32_t>(table_.services().size());
    for (std::uint32_t s = 0; s < n; ++s) {
        auto const& service = table_.service(s);
        if (service.closed || service.tried_count > 0) {
            continue;
        }
        if (!target_planner::plan_replica(shared, now,
                                          {.view = view_, .service = s})) {
            table_.close_service(s);
        }
    }
    send_plan(shared, now, attempt_kind::first, out);
    retry_postponed(shared, now, out);
}

void snapshot_run::retry_postponed(query_shared& shared, time_point now,
                                   query_actions& out)
{
    auto const n = static_cast<std::uint32_t>(table_.services().size());
    for (std::uint32_t s = 0; s < n; ++s) {
        auto& service = table_.service(s);
        if (!service.postponed) {
            continue;
        }
        if (!resend_planner::plan_retry(shared, now, resends(), s)) {
            table_.close_service(s);
        }
        service.postponed = false;
    }
    send_plan(shared, now, attempt_kind::retry, out);
}

bool snapshot_run::send_step(query_shared& shared, time_point now,
                             std::uint32_t s, query_actions& out)
{
    stepping_ = true;
    auto& service = table_.service(s);
    if (service.postponed) {
        if (!resend_planner::plan_retry(shared, now, resends(), s)) {
            return false;
        }
        service.postponed = false;
        send_plan(shared, now, attempt_kind::retry, out);
        return true;
    }
    if (!target_planner::plan_replica(shared, now,
                                      {.view = view_, .service = s})) {
        table_.close_service(s);
        return false;
    }
    send_plan(shared, now, attempt_kind::first, out);
    return true;
}

void snapshot_run::hedge(query_shared& shared, time_point now,
                         query_actions& out)
{
    auto const n = static_cast<std::uint32_t>(table_.services().size());
    if (n == 0) {
        return;
    }
    // A random start, so that a short budget does not always go to the same
    // services.
    auto const start = shared.random.below(n);
    for (std::uint32_t i = 0; i < n; ++i) {
        if (!plan_hedge(shared, now, (start + i) % n)) {
            break;
        }
    }
    auto const planned = static_cast<std::uint32_t>(shared.plan.size());
    hedges_ += planned;
    shared.counters.hedges += planned;
    send_plan(shared, now, attempt_kind::hedge, out);
}

// Returns false when the budget is used up.
bool snapshot_run::plan_hedge(query_shared& shared, time_point now,
                              std::uint32_t s)
{
    auto& service = table_.service(s);
    if (service.closed || service.hedged || service.open == 0) {
        return true;
    }
    auto& budget = in_.load->hedges;
    if (budget.tokens() < 1) {
        return false;
    }
    if (target_planner::plan_replica(shared, now,
                                     {.view = view_,
                                      .service = s,
                                      .tried = service.upstreams(),
                                      .extra = true,
                                      .hedge = true})) {
        budget.take();
        service.hedged = true;
    }
    return true;
}

void snapshot_run::flush(query_shared& shared, time_point now,
                         query_actions& out)
{
    send_cancels(out);
    send_plan(shared, now, attempt_kind::retry, out);
}

void snapshot_run::send_plan(query_shared& shared, time_point now,
                             attempt_kind kind, query_actions& out)
{
    if (shared.plan.empty()) {
        return;
    }
    // Answers that are there well before hedges start must not wait for a
    // straggler at the same owner.
    auto const flush =
        std::max(shared.settings.min_flush_after, hedge_after_ / 2);
    in_.pattern.remaining = in_.deadline - now;
    in_.pattern.flush_after = std::min(flush, in_.pattern.remaining);
    auto const n = batch_sender::send(
        shared, table_, {.run = in_.self, .kind = kind, .pattern = in_.pattern},
        now, out);
    sent_ += n;
    if (kind == attempt_kind::first) {
        shared.retries.earn(n * shared.settings.retry_budget);
        shared.moves.earn(n * shared.settings.move_budget);
        in_.load->hedges.earn(n * in_.hedge_budget);
    }
}

void snapshot_run::on_part(query_shared& shared, time_point now,
                           std::uint32_t batch, host_id const& from,
                           query_part part)
{
    auto& sent = table_.batch(batch);
    if (sent.to != from) {
        ++shared.counters.malformed;
        return;
    }
    if (sent.final) {
        ++shared.counters.duplicate_results;
        return;
    }
    sent.final = part.final;
    if (part.version != view_.version) {
        ++shared.counters.wrong_version;
    }
    else if (!part_check::well_formed(shared, table_, sent, coverage_, part)) {
        ++shared.counters.malformed;
    }
    else {
        apply(shared, now, batch, part);
    }
    if (part.final) {
        close_rest(shared, now, batch, false);
    }
}

void snapshot_run::on_stream_failed(query_shared& shared, time_point now,
                                    std::uint32_t batch, host_id const& from)
{
    auto& sent = table_.batch(batch);
    if (sent.to != from || sent.final) {
        return;
    }
    sent.final = true;
    close_rest(shared, now, batch, true);
}

void snapshot_run::apply(query_shared& shared, time_point now,
                         std::uint32_t batch, query_part& part)
{
    for (auto const& result : part.results) {
        auto& attempt = *table_.find(table_.batch(batch), result.upstream);
        if (attempt.state == attempt_state::reported) {
            ++shared.counters.duplicate_results;
            continue;
        }
        auto const position =
            shared.routes->find(attempt.upstream, attempt.position);
        if (position) {
            shared.catalogue.on_result(now, *position, view_.version, result);
        }
        if (result.outcome == sub_outcome::merged) {
            on_merged(shared, now, attempt, result);
        }
        else {
            on_failed(shared, now, attempt, result.outcome);
        }
    }
    for (auto& it : part.records) {
        // Records of a result that was dropped as a duplicate are not merged.
        if (coverage_.covered(it.partition)) {
            merger_.add(std::move(it));
        }
    }
}

void snapshot_run::on_merged(query_shared& shared, time_point now,
                             sub_attempt& attempt, target_result const& result)
{
    auto const& batch = table_.batch(attempt.batch);
    if (attempt.state == attempt_state::open) {
        in_.load->latency.add(now - batch.sent);
    }
    table_.close(attempt, attempt_state::reported);
    attempt.outcome = sub_outcome::merged;
    // A second replica's answer adds only partitions that are new.
    coverage_.add(result);
    auto& service = table_.service(attempt.service);
    if (service.merged) {
        return;
    }
    service.merged = true;
    table_.close_service(attempt.service);
    if (batch.kind == attempt_kind::hedge) {
        ++shared.counters.hedges_won;
    }
    cancel_others(now, attempt.service);
}

void snapshot_run::on_failed(query_shared& shared, time_point now,
                             sub_attempt& attempt, sub_outcome outcome)
{
    if (outcome == sub_outcome::wrong_version) {
        ++shared.counters.wrong_version;
    }
    if (outcome == sub_outcome::malformed) {
        ++shared.counters.malformed;
    }
    if (outcome == sub_outcome::quarantined) {
        quarantined_ = true;
    }
    if (attempt.state == attempt_state::open) {
        note_failure(shared, now, attempt, outcome, false);
        return;
    }
    table_.close(attempt, attempt_state::reported);
    attempt.outcome = outcome;
}

// Closes the targets of a batch on which nothing more can arrive.
void snapshot_run::close_rest(query_shared& shared, time_point now,
                              std::uint32_t batch, bool owner_lost)
{
    for (auto& attempt : table_.attempts(table_.batch(batch))) {
        if (attempt.state == attempt_state::open) {
            note_failure(shared, now, attempt, sub_outcome::malformed,
                         owner_lost);
        }
    }
}

void snapshot_run::note_failure(query_shared& shared, time_point now,
                                sub_attempt& attempt, sub_outcome outcome,
                                bool owner_lost)
{
    table_.close(attempt, attempt_state::reported);
    attempt.outcome = outcome;
    auto& service = table_.service(attempt.service);
    if (table_.batch(attempt.batch).kind != attempt_kind::hedge) {
        service.last = outcome;
        service.owner_lost = owner_lost;
        service.last_attempt = table_.index_of(attempt);
    }
    if (service.closed || service.open > 0) {
        return;
    }
    // An upstream without the version is up and did not run the query, so its
    // service may be retried at once.
    if (stepping_ && service.last != sub_outcome::version_gone) {
        service.postponed = true;
        return;
    }
    if (resend_planner::plan_retry(shared, now, resends(), attempt.service)) {
        return;
    }
    if (service.last == sub_outcome::version_gone) {
        gone_ = true;
    }
    table_.close_service(attempt.service);
}

void snapshot_run::cancel_others(time_point now, std::uint32_t s)
{
    auto const& service = table_.service(s);
    for (std::size_t i = 0; i < service.tried_count; ++i) {
        auto& attempt = table_.attempt(service.attempts[i]);
        if (attempt.state != attempt_state::open) {
            continue;
        }
        in_.load->latency.add(now - table_.batch(attempt.batch).sent);
        table_.close(attempt, attempt_state::cancelled);
        cancels_.emplace_back(attempt.batch, attempt.upstream);
    }
}

void snapshot_run::on_owner_silent(query_shared& shared, time_point now)
{
    resend_planner::plan_moves(shared, now, resends());
}

resend_planner::context snapshot_run::resends()
{
    return {.table = table_,
            .view = view_,
            .deadline = in_.deadline,
            .quarantined = quarantined_,
            .stepping = stepping_};
}

void snapshot_run::send_cancels(query_actions& out)
{
    std::sort(cancels_.begin(), cancels_.end());
    for (std::size_t i = 0; i < cancels_.size();) {
        auto const b = cancels_[i].first;
        auto const& batch = table_.batch(b);
        cancel_targets action{.to = batch.to, .id = batch.id};
        for (; i < cancels_.size() && cancels_[i].first == b; ++i) {
            action.targets.push_back(cancels_[i].second);
        }
        if (!batch.final) {
            out.push_back(std::move(action));
        }
    }
    cancels_.clear();
}

void snapshot_run::end(query_shared& shared, query_actions& out)
{
    shared.plan.clear(); // retries that are no longer wanted
    cancels_.clear();
    for (auto const& batch : table_.batches()) {
        shared.requests.erase(batch.id);
        if (!batch.final) {
            out.push_back(cancel_batch{.to = batch.to, .id = batch.id});
        }
    }
}

void snapshot_run::sample_open(time_point now)
{
    for (auto const& attempt : table_.attempts()) {
        if (attempt.state == attempt_state::open) {
            auto const& batch = table_.batch(attempt.batch);
            in_.load->latency.add(now - batch.sent);
        }
    }
}

run_state snapshot_run::ran() const
{
    auto state = run_state::not_run;
    for (auto const& it : table_.attempts()) {
        auto const reported = it.state == attempt_state::reported;
        if (reported && it.outcome == sub_outcome::merged) {
            return run_state::ran;
        }
        if (!reported || !did_not_run(it.outcome)) {
            state = run_state::unknown;
        }
    }
    return state;
}

} // namespace snipemill
