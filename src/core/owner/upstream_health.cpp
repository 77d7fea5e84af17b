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
                                sub_outcome outcome, duration latency)
{
    if (outcome == sub_outcome::merged) {
        u.limiter.on_answer(now, latency);
    }
    else if (outcome == sub_outcome::malformed) {
        u.limiter.on_shed();
    }
}

void upstream_health::on_failed(time_point now, owned_upstream& u,
                                fingerprint print, sub_failure const& failed,
                                duration ran_for, bool abandoned,
                                owner_actions& out)
{
    switch (failed.outcome) {
    case sub_outcome::shed:
    case sub_outcome::malformed:
        u.limiter.on_shed();
        break;
    case sub_outcome::timed_out:
        // The timeout of an abandoned request has been counted before.
        if (!abandoned) {
            u.limiter.on_timeout(ran_for);
        }
        break;
    case sub_outcome::draining:
        u.set_draining(now);
        break;
    case sub_outcome::reset:
        on_reset(u, print, out);
        break;
    case sub_outcome::unreachable:
        turn_cold(u);
        break;
    case sub_outcome::version_gone:
        u.keep_held(failed.held);
        break;
    default:
        break;
    }
}

void upstream_health::on_submit(time_point now, owned_upstream& u,
                                fingerprint print,
                                submit_outcome const& outcome, duration ran_for,
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
    on_failed(now, u, print, {.outcome = outcome_of(reason)}, ran_for, false,
              out);
}

void upstream_health::turn_cold(owned_upstream& u)
{
    if (u.limiter.turn_cold()) {
        ++counters_->turned_cold;
    }
}

// An upstream that has announced that it leaves may close its connections.
void upstream_health::on_reset(owned_upstream& u, fingerprint print,
                               owner_actions& out)
{
    if (u.closed_state() != limiter_state::leaving) {
        out.emplace_back(report_crash{.print = print, .upstream = u.id()});
    }
    turn_cold(u);
}

} // namespace snipemill
