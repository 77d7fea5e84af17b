#include "core/forward/relayed_run.hpp"

#include "core/base/overloaded.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace snipemill {

namespace {

// Relays that are tried before a direct run. Each may cost accept_timeout, so
// that more would use up a short objective.
constexpr std::size_t max_relays = 2;

// A relay needs two attempts to hedge.
constexpr std::uint32_t min_relay_attempts = 2;

// Allowance for the network latency of query and answer. A round trip
// between data centres of one region takes 2 to 3 ms.
constexpr duration relay_latency_allowance = from_ms(2);

} // namespace

relayed_run::relayed_run(options o) : options_(std::move(o))
{
    assert(options_.pool && options_.direct.shared && options_.direct.route);
}

relayed_run::~relayed_run()
{
    end_call();
}

void relayed_run::start()
{
    auto& direct = options_.direct;
    auto admission = request_run::admit(direct);
    if (admission.refusal) {
        finish(std::move(*admission.refusal));
        return;
    }
    if (admission.trial) {
        // The trial is this host's, and a relay may be lost with it.
        direct.trial = true;
        run_directly();
        return;
    }
    try_next_relay(direct.shared->now());
}

void relayed_run::try_next_relay(time_point now)
{
    auto const to =
        tried_.size() < max_relays ? options_.pool->choose(tried_) : nullptr;
    if (to) {
        send(to, now);
        return;
    }
    if (tried_.empty() && options_.pool->cut_off()) {
        finish(error_answer{.status = 503,
                            .reason = {.code = errc::upstream_unreachable,
                                       .run = run_state::not_run,
                                       .detail = "the data centre is cut off"},
                            .retry_after =
                                options_.direct.settings->retry_no_upstream});
        return;
    }
    run_directly();
}

void relayed_run::send(relay_ptr const& to, time_point now)
{
    tried_.push_back(to);
    ++to->open;
    sent_at_ = now;
    relay_suspected_ = false;
    postponed_ = false;
    accept_deadline_ = now + options_.pool->settings().suspect_timeout;
    // One attempt is kept for another relay where the route leaves two.
    given_attempts_ = attempts_left();
    if (given_attempts_ > min_relay_attempts) {
        --given_attempts_;
    }
    call_ = options_.pool->port().run(
        to->host,
        {.route = options_.direct.route->name,
         .fingerprint = options_.fingerprint,
         .elapsed = now - options_.direct.arrival + relay_latency_allowance,
         .left = options_.direct.end - now - relay_latency_allowance,
         .attempts = given_attempts_,
         .request = options_.direct.request},
        [this](relay_event event) { on_event(std::move(event)); });
    if (options_.direct.on_timer_changed) {
        options_.direct.on_timer_changed();
    }
}

std::uint32_t relayed_run::attempts_left() const
{
    auto const allowed = options_.direct.route->attempts;
    return allowed > ambiguous_attempts_ + 1 ? allowed - ambiguous_attempts_
                                             : 1;
}

void relayed_run::run_directly()
{
    record_outcome("direct");
    auto o = options_.direct;
    o.attempts = attempts_left();
    o.on_answer = [this](caller_answer answer) { finish(std::move(answer)); };
    direct_ = std::make_unique<request_run>(std::move(o));
    direct_->start();
    if (!done_ && options_.direct.on_timer_changed) {
        options_.direct.on_timer_changed();
    }
}

// Ends the open call; the relay cancels a query that it still runs.
void relayed_run::end_call()
{
    accept_deadline_.reset();
    if (auto const call = std::exchange(call_, nullptr)) {
        --tried_.back()->open;
        call->cancel();
    }
}

void relayed_run::record_outcome(std::string_view outcome)
{
    if (!relay_outcomes_.empty()) {
        relay_outcomes_ += ' ';
    }
    if (!tried_.empty() && !direct_) {
        relay_outcomes_ += tried_.back()->host.name;
        relay_outcomes_ += '=';
    }
    relay_outcomes_ += outcome;
}

void relayed_run::on_event(relay_event event)
{
    auto const now = options_.direct.shared->now();
    std::visit(
        overloaded{[&](relay_accepted const&) {
                       accepted_ = true;
                       accept_deadline_.reset();
                   },
                   [&](relay_answer& it) { on_answer(std::move(it)); },
                   [&](relay_refused const& it) {
                       record_outcome(name_of(relay_refusal_names, it.reason));
                       end_call();
                       if (it.reason != relay_refusal::other_route) {
                           options_.pool->mark_failed(*tried_.back(), now);
                       }
                       try_next_relay(now);
                   },
                   [&](relay_lost const& it) {
                       record_outcome("lost");
                       end_call();
                       options_.pool->mark_failed(*tried_.back(), now);
                       on_lost(it.sent, now);
                   }},
        event);
}

void relayed_run::on_answer(relay_answer&& answer)
{
    record_outcome("answered");
    summary_ = std::move(answer.summary);
    end_call();
    std::visit([this](auto& it) { finish(std::move(it)); }, answer.answer);
}

void relayed_run::on_lost(bool sent, time_point now)
{
    if (accepted_) {
        finish_with_error(502, errc::peer_unreachable,
                          "relay lost after it accepted the query");
        return;
    }
    if (sent) {
        ambiguous_attempts_ += given_attempts_;
    }
    try_next_or_fail(now);
}

void relayed_run::cancel()
{
    if (done_) {
        return;
    }
    done_ = true;
    end_call();
    if (direct_) {
        direct_->cancel();
    }
}

void relayed_run::time_out()
{
    if (direct_) {
        direct_->time_out();
        return;
    }
    finish_with_error(504, errc::deadline_exceeded,
                      "request deadline exceeded");
}

std::optional<time_point> relayed_run::next_timer() const
{
    if (done_) {
        return std::nullopt;
    }
    if (direct_) {
        return direct_->next_timer();
    }
    return accept_deadline_ ? std::min(*accept_deadline_, options_.direct.end)
                            : options_.direct.end;
}

void relayed_run::on_timer(time_point now)
{
    if (done_) {
        return;
    }
    if (direct_) {
        direct_->on_timer(now);
        return;
    }
    if (now >= options_.direct.end) {
        time_out();
        return;
    }
    if (accept_deadline_ && now >= *accept_deadline_) {
        on_accept_timeout(now);
    }
}

void relayed_run::on_accept_timeout(time_point now)
{
    auto const& settings = options_.pool->settings();
    if (!postponed_ && options_.pool->was_delayed(*accept_deadline_, now)) {
        postponed_ = true;
        accept_deadline_ = now + settings.postpone_time;
        return;
    }
    if (!relay_suspected_) {
        relay_suspected_ = true;
        options_.pool->mark_failed(*tried_.back(), now);
        accept_deadline_ = std::max(now, sent_at_ + settings.accept_timeout);
        return;
    }
    // A frozen relay that resumes reads the query and its cancellation
    // together, and does not start the query.
    record_outcome("not_accepted");
    end_call();
    ambiguous_attempts_ += given_attempts_;
    try_next_or_fail(now);
}

// A relay that may have started the query may have used all attempts that it
// was given; another relay may run it only while the route allows further
// upstreams. One attempt a relay was not enough: shards of a query whose first
// relay was cut off ran at three upstreams where two are allowed.
void relayed_run::try_next_or_fail(time_point now)
{
    if (ambiguous_attempts_ >= options_.direct.route->attempts) {
        finish_with_error(502, errc::peer_unreachable,
                          "no relay accepted the query; all attempts used");
        return;
    }
    try_next_relay(now);
}

void relayed_run::finish_with_error(unsigned status, errc code,
                                    std::string detail)
{
    finish(error_answer{.status = status,
                        .reason = {.code = code,
                                   .run = run_state::unknown,
                                   .detail = std::move(detail)}});
}

// A relay that did not accept the query in time may have run it all the same,
// although the one that refused it has not.
void relayed_run::correct_refusal(caller_answer& answer) const
{
    auto* const error = std::get_if<error_answer>(&answer);
    if (error && error->reason.run == run_state::not_run &&
        ambiguous_attempts_ > 0) {
        *error = {.status = error->status == 504 ? 504U : 502U,
                  .reason = {.code = error->reason.code,
                             .run = run_state::unknown,
                             .detail = "a relay may have run the query; " +
                                       error->reason.detail}};
    }
}

void relayed_run::finish(caller_answer answer)
{
    if (done_) {
        return;
    }
    done_ = true;
    correct_refusal(answer);
    end_call();
    options_.direct.on_answer(std::move(answer));
}

run_summary relayed_run::summary() const
{
    run_summary out;
    if (direct_) {
        out = direct_->summary();
    }
    else if (summary_) {
        out = *summary_;
    }
    out.route = options_.direct.route->name;
    out.manifest_version = options_.direct.state->version;
    out.relays = relay_outcomes_;
    return out;
}

} // namespace snipemill
