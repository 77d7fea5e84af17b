#include "core/owner/upstream_health.hpp"

namespace snipemill {

namespace {

// The outcome of a query that tells as much about the upstream.
sub_outcome outcome_of(errc reason)
{
    switch (reason) {
    case errc::upstream_reset:
        return sub_outcome::reset;
    case errc::upstream_unreachable:
        return sub_outcome::unreachable;
    case errc::upstream_shed:
        return sub_outcome::shed;
    case errc::upstream_draining:
        return sub_outcome::draining;
    case errc::deadline_exceeded:
        return sub_outcome::timed_out;
    default:
        return sub_outcome::refused;
    }
}

} // namespace

void count_outcome(owner_counters& counters, sub_outcome outcome)
{
    switch (outcome) {
    case sub_outcome::merged:
        ++counters.answered;
        break;
    case sub_outcome::shed:
        ++counters.shed;
        break;
    case sub_outcome::hedge_refused:
        ++counters.hedge_refused;
        break;
    case sub_outcome::timed_out:
        ++counters.timed_out;
        break;
    case sub_outcome::reset:
        ++counters.reset;
        break;
    case sub_outcome::malformed:
        ++counters.malformed;
        break;
    case sub_outcome::wrong_version:
        ++counters.wrong_version;
        break;
    case sub_outcome::cancelled:
        ++counters.cancelled;
        break;
    case sub_outcome::refused:
    case sub_outcome::not_owner:
    case sub_outcome::quarantined:
    case sub_outcome::draining:
        ++counters.refused;
        break;
    case sub_outcome::version_gone:
    case sub_outcome::unreachable:
        break;
    }
}

void upstream_health::on_answer(time_point now, owned_upstream& u,
                                finished_request const& request,
                                sub_outcome outcome)
{
    if (outcome == sub_outcome::merged) {
        u.limiter.on_answer(now, now - request.started);
        u.survived.on_answer(request.print, request.version, request.started);
    }
    else if (outcome == sub_outcome::malformed) {
        u.limiter.on_shed();
    }
}

void upstream_health::on_failed(time_point now, owned_upstream& u,
                                finished_request const& request,
                                sub_failure const& failed, owner_actions& out)
{
    switch (failed.outcome) {
    case sub_outcome::shed:
    case sub_outcome::malformed:
        u.limiter.on_shed();
        break;
    case sub_outcome::timed_out:
        // The timeout of an abandoned request has been counted before.
        if (!request.abandoned) {
            u.limiter.on_timeout(now - request.started);
        }
        break;
    case sub_outcome::draining:
        u.set_draining(now);
        break;
    case sub_outcome::reset:
        on_reset(now, u, request, out);
        break;
    case sub_outcome::unreachable:
        turn_cold(now, u);
        break;
    case sub_outcome::version_gone:
        u.keep_held(failed.held);
        break;
    default:
        break;
    }
}

void upstream_health::on_submit(time_point now, owned_upstream& u,
                                finished_request const& request,
                                submit_outcome const& outcome,
                                owner_actions& out)
{
    // The latency of a submit is not compared with that of queries.
    if (std::holds_alternative<submit_answered>(outcome)) {
        u.limiter.on_good(now);
        return;
    }
    auto const* const not_run = std::get_if<submit_not_run>(&outcome);
    auto const reason = not_run != nullptr
                            ? not_run->reason
                            : std::get<submit_unknown>(outcome).reason;
    on_failed(now, u, request, {.outcome = outcome_of(reason)}, out);
}

void upstream_health::turn_cold(time_point now, owned_upstream& u)
{
    u.survived.on_lost(now);
    if (u.limiter.turn_cold()) {
        ++counters_->turned_cold;
    }
}

// An upstream that has announced that it leaves may close its connections. A
// request that the upstream has answered before does not crash it; when many
// upstreams restart at once, the common queries are in flight at most of them.
void upstream_health::on_reset(time_point now, owned_upstream& u,
                               finished_request const& request,
                               owner_actions& out)
{
    auto const announced = u.closed_state() == limiter_state::leaving;
    auto const harmless =
        u.survived.contains(request.print, request.version, request.started);
    if (!announced && !harmless) {
        out.emplace_back(
            report_crash{.print = request.print, .upstream = u.id()});
    }
    turn_cold(now, u);
}

} // namespace snipemill
