#include "core/query/snapshot_run.hpp"

namespace snipemill {

// The part of a run that moves sub-requests away from silent owners.

void snapshot_run::on_owner_silent(query_shared& shared, time_point now)
{
    auto const n = static_cast<std::uint32_t>(table_.services().size());
    for (std::uint32_t s = 0; s < n; ++s) {
        auto const* waiting = waiting_for_silent(shared, s);
        if (waiting != nullptr && !plan_move(shared, now, *waiting)) {
            break;
        }
    }
}

// An open attempt of a service that may be moved and has no open attempt at an
// owner that answers.
sub_attempt const* snapshot_run::waiting_for_silent(query_shared const& shared,
                                                    std::uint32_t s) const
{
    auto const& service = table_.services()[s];
    if (service.closed || service.retried) {
        return nullptr;
    }
    sub_attempt const* found = nullptr;
    for (std::size_t i = 0; i < service.tried_count; ++i) {
        auto const& attempt = table_.attempts()[service.attempts[i]];
        if (attempt.state != attempt_state::open) {
            continue;
        }
        if (!shared.silent.contains(table_.batch(attempt.batch).to)) {
            return nullptr;
        }
        found = &attempt;
    }
    return found;
}

// Returns false when no more can be moved. Another replica goes first: it is
// likely to be warm, and a second owner starts cold.
bool snapshot_run::plan_move(query_shared& shared, time_point now,
                             sub_attempt const& waiting)
{
    if (quarantined_ || now >= in_.deadline || shared.moves.tokens() < 1) {
        return false;
    }
    auto& service = table_.service(waiting.service);
    auto const planned =
        target_planner::plan_replica(shared, now,
                                     {.view = view_,
                                      .service = waiting.service,
                                      .tried = service.upstreams(),
                                      .extra = true}) ||
        target_planner::plan_other_owner(shared, waiting,
                                         table_.batch(waiting.batch).to);
    if (planned) {
        shared.moves.take();
        service.retried = true;
        ++shared.counters.moves;
    }
    return true;
}

} // namespace snipemill
