#include "core/query/resend_planner.hpp"

namespace snipemill {

namespace {

bool worth_a_retry(sub_outcome outcome)
{
    return outcome != sub_outcome::timed_out &&
           outcome != sub_outcome::cancelled &&
           outcome != sub_outcome::quarantined;
}

} // namespace

bool resend_planner::plan_retry(query_shared& shared, time_point now,
                                context const& run, std::uint32_t s)
{
    auto& service = run.table.service(s);
    // A request at a host that does not own its upstream tells nothing of the
    // service, so it does not use up the retry.
    auto const reroute =
        service.last == sub_outcome::not_owner && !service.rerouted;
    auto const allowed = (reroute || !service.retried) && !run.quarantined &&
                         now < run.deadline && worth_a_retry(service.last) &&
                         shared.retries.tokens() >= 1;
    if (!allowed || !plan_retry_target(shared, now, run, s)) {
        return false;
    }
    shared.retries.take();
    (reroute ? service.rerouted : service.retried) = true;
    ++shared.counters.retries;
    return true;
}

bool resend_planner::plan_retry_target(query_shared& shared, time_point now,
                                       context const& run, std::uint32_t s)
{
    auto const& service = run.table.service(s);
    auto const tried = run.table.tried_except_refused_hedges(s);
    auto const& failed = run.table.attempt(service.last_attempt);
    auto const& owner = run.table.batch(failed.batch).to;
    if (service.owner_lost &&
        target_planner::plan_other_owner(shared, failed, owner)) {
        return true;
    }
    if (target_planner::plan_replica(
            shared, now,
            {.view = run.view, .service = s, .tried = tried, .extra = true})) {
        return true;
    }
    auto const* const moved = run.table.last_not_owned(s);
    if (moved != nullptr &&
        target_planner::plan_other_owner(shared, *moved,
                                         run.table.batch(moved->batch).to)) {
        return true;
    }
    // After the first step, the same replica again when there is no other.
    return service.postponed && !run.stepping &&
           target_planner::plan_replica(
               shared, now, {.view = run.view, .service = s, .extra = true});
}

void resend_planner::plan_moves(query_shared& shared, time_point now,
                                context const& run)
{
    auto const n = static_cast<std::uint32_t>(run.table.services().size());
    for (std::uint32_t s = 0; s < n; ++s) {
        auto const* waiting = waiting_for_silent(shared, run.table, s);
        if (waiting != nullptr && !plan_move(shared, now, run, *waiting)) {
            break;
        }
    }
}

// An open attempt of a service that may be moved and has no open attempt at an
// owner that answers.
sub_attempt const*
resend_planner::waiting_for_silent(query_shared const& shared,
                                   attempt_table const& table, std::uint32_t s)
{
    auto const& service = table.services()[s];
    if (service.closed || service.retried) {
        return nullptr;
    }
    sub_attempt const* found = nullptr;
    for (std::size_t i = 0; i < service.tried_count; ++i) {
        auto const& attempt = table.attempts()[service.attempts[i]];
        if (attempt.state != attempt_state::open) {
            continue;
        }
        if (!shared.silent.contains(table.batch(attempt.batch).to)) {
            return nullptr;
        }
        found = &attempt;
    }
    return found;
}

// Returns false when no more can be moved. Another replica goes first: it is
// likely to be warm, and a second owner starts cold.
bool resend_planner::plan_move(query_shared& shared, time_point now,
                               context const& run, sub_attempt const& waiting)
{
    if (run.quarantined || now >= run.deadline || shared.moves.tokens() < 1) {
        return false;
    }
    auto& service = run.table.service(waiting.service);
    auto const planned =
        target_planner::plan_replica(shared, now,
                                     {.view = run.view,
                                      .service = waiting.service,
                                      .tried = service.upstreams(),
                                      .extra = true}) ||
        target_planner::plan_other_owner(shared, waiting,
                                         run.table.batch(waiting.batch).to);
    if (planned) {
        shared.moves.take();
        service.retried = true;
        ++shared.counters.moves;
    }
    return true;
}

} // namespace snipemill
