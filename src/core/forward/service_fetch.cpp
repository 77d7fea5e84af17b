#include "core/forward/service_fetch.hpp"

#include "core/base/overloaded.hpp"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace snipemill {

namespace {

// Limit of attempts that got no connection; attempt_count_ leaves them out.
constexpr std::uint32_t max_connect_failures = 4;

// Attempts that a query may lose before an upstream has answered it. With more
// losses the query itself may be the cause, and is sent nowhere else.
constexpr std::uint32_t max_unexplained_losses = 2;

bool is_success(upstream_answer const& it)
{
    return it.status >= 200 && it.status < 300;
}

attempt_outcome outcome_of(upstream_answer const& answer)
{
    if (answer.wrong_instance) {
        return attempt_outcome::wrong_instance;
    }
    if (answer.not_run) {
        return attempt_outcome::refused;
    }
    if (!is_success(answer)) {
        return attempt_outcome::failed;
    }
    return answer.stamp.empty() ? attempt_outcome::no_stamp
                                : attempt_outcome::answered;
}

attempt_outcome outcome_of(exchange_outcome const& outcome)
{
    return std::visit(
        overloaded{
            [](upstream_answer const& it) { return outcome_of(it); },
            [](exchange_not_sent const&) { return attempt_outcome::not_sent; },
            [](exchange_lost const&) { return attempt_outcome::lost; }},
        outcome);
}

// Whether the upstream ran the request.
bool has_run(upstream_answer const& it)
{
    return !it.not_run && !it.wrong_instance;
}

// Latency of an exchange relative to the mean of its route.
double relative_latency(route_latency const& latency, duration elapsed)
{
    auto const mean = latency.mean();
    return mean > duration::zero() ? to_ms(elapsed) / std::max(0.1, to_ms(mean))
                                   : 1.0;
}

// Whether the exchange ended because of the upstream, which was not expected to
// stop.
bool lost_by_upstream(exchange_outcome const& outcome, upstream_view const& it)
{
    auto const* const lost = std::get_if<exchange_lost>(&outcome);
    return lost && !lost->closed_by_host && !it.leaving();
}

// Counts an ended attempt for the rollout of its service. An exchange that this
// host closed has taken at least the elapsed time.
void count_version(fetch_context& shared, std::string const& route,
                   upstream_view const& upstream, duration elapsed,
                   exchange_outcome const& outcome)
{
    if (!shared.versions) {
        return;
    }
    auto& counters = *shared.versions;
    auto const& [service, version] =
        std::tie(upstream.record.service, upstream.record.version);
    auto const* const lost = std::get_if<exchange_lost>(&outcome);
    auto const end = outcome_of(outcome);
    if (end == attempt_outcome::answered || (lost && lost->closed_by_host)) {
        counters.on_answered(service, route, version, elapsed);
    }
    else if (end == attempt_outcome::failed ||
             end == attempt_outcome::no_stamp ||
             lost_by_upstream(outcome, upstream)) {
        counters.on_failed(service, route, version);
    }
    else {
        counters.on_released(service, route, version);
    }
}

// The outcome of an abandoned attempt still updates the state of its upstream.
void record_late_outcome(fetch_context& shared, upstream_view& upstream,
                         route_latency const& latency, time_point start,
                         fingerprint print, exchange_outcome const& outcome)
{
    auto const now = shared.now();
    auto const relative = relative_latency(latency, now - start);
    std::visit(
        overloaded{
            [&](upstream_answer const& answer) {
                shared.fleet.mark_responsive(upstream);
                if (has_run(answer)) {
                    shared.crashes.on_answered(print, is_success(answer), now);
                }
                shared.fleet.on_answer(upstream, answer.signals, start, now);
                upstream.answered(start, now, relative);
            },
            [&](exchange_not_sent const&) { upstream.released(start); },
            [&](exchange_lost const& lost) {
                if (lost.closed_by_host) {
                    upstream.timed_out(start, now, relative);
                }
                else {
                    upstream.failed(start, now);
                }
            }},
        outcome);
}

} // namespace

service_fetch::service_fetch(options o) : options_(std::move(o))
{
    assert(options_.shared && options_.route && options_.service &&
           options_.request);
}

service_fetch::~service_fetch()
{
    *alive_ = false;
    stop();
}

void service_fetch::start()
{
    auto const now = options_.shared->now();
    estimate_cost();
    choice_failure why = choice_failure::none_usable;
    auto const upstream = choose(now, why);
    if (!upstream) {
        failure_.fault = why == choice_failure::saturated
                             ? fetch_fault::saturated
                             : fetch_fault::no_upstream;
        finish(fetch_failure(failure_));
        return;
    }
    start_attempt(upstream, now);
    schedule_hedge(now);
}

upstream_ptr service_fetch::choose(time_point now, choice_failure& why,
                                   std::optional<double> latest_finish)
{
    auto const usual = options_.shared->latencies[options_.route->name].mean();
    return options_.shared->fleet.choose(
        {.service = options_.service,
         .exclude = &excluded_,
         .suspect = options_.suspect,
         .objective = options_.route->objective,
         .usual = usual,
         .now = now,
         .cost = &cost_,
         .latest_finish = latest_finish},
        why);
}

void service_fetch::start_attempt(upstream_ptr const& upstream, time_point now)
{
    auto const n = attempts_.size();
    excluded_.push_back(upstream);
    ++attempt_count_;
    ++possible_runs_;
    auto const predicted =
        options_.shared->fleet.predict(*upstream, cost_, now);
    upstream->sent(now, predicted);
    upstream->open_suspects += options_.suspect ? 1 : 0;
    if (options_.query) {
        ++options_.query->open;
    }
    if (options_.shared->versions) {
        options_.shared->versions->on_sent(upstream->record.service,
                                           options_.route->name,
                                           upstream->record.version);
    }
    attempts_.push_back(
        {.upstream = upstream, .start = now, .predicted = predicted});
    auto const& route =
        *options_.shared->latencies.try_emplace(options_.route->name).first;
    attempts_[n].id = options_.shared->exchanges.send(
        upstream, options_.request, options_.end,
        [this, n, upstream, alive = alive_, shared = options_.shared,
         route = &route.first, latency = &route.second,
         print = options_.request->print, query_id = options_.query_id,
         suspect = options_.suspect, start = now](exchange_outcome outcome) {
            upstream->open_suspects -= suspect ? 1 : 0;
            count_version(*shared, *route, *upstream, shared->now() - start,
                          outcome);
            if (*alive && attempts_[n].open) {
                on_outcome(n, std::move(outcome));
                return;
            }
            if (lost_by_upstream(outcome, *upstream)) {
                shared->crashes.on_lost(print, lifetime_id(upstream->record),
                                        query_id, shared->now());
            }
            record_late_outcome(*shared, *upstream, *latency, start, print,
                                outcome);
        });
}

std::optional<time_point> service_fetch::next_timer() const
{
    if (done()) {
        return std::nullopt;
    }
    if (hedge_at_ && retry_at_) {
        return std::min(*hedge_at_, *retry_at_);
    }
    return hedge_at_ ? hedge_at_ : retry_at_;
}

void service_fetch::on_timer(time_point now)
{
    if (done()) {
        return;
    }
    if (retry_at_ && now >= *retry_at_) {
        retry_at_.reset();
        if (held() && options_.query->open > 0) {
            retry_at_ = now + options_.shared->settings.retry_delay;
            return;
        }
        // An upstream that refused may have capacity again, so only those with
        // an open attempt stay excluded.
        excluded_.clear();
        for (auto const& it : attempts_) {
            if (it.open) {
                excluded_.push_back(it.upstream);
            }
        }
        start_extra_attempt(retry_budget::attempt_kind::retry, now);
        if (!done() && open_attempts() == 0 && !retry_at_) {
            finish(fetch_failure(failure_));
            return;
        }
    }
    if (hedge_at_ && now >= *hedge_at_) {
        on_hedge_timer(now);
    }
}

void service_fetch::end_attempt(attempt& it)
{
    it.open = false;
    if (options_.query) {
        --options_.query->open;
    }
}

bool service_fetch::held() const
{
    return options_.query && !options_.query->answered &&
           options_.query->lost >= max_unexplained_losses;
}

bool service_fetch::may_start_extra_attempt(time_point now) const
{
    if (held() ||
        now + options_.shared->settings.min_exchange_time >= options_.end ||
        attempt_count_ >= options_.shared->settings.max_attempts ||
        connect_failures_ >= max_connect_failures ||
        (options_.trial && attempt_count_ > 0)) {
        return false;
    }
    return possible_runs_ == 0 ||
           (idempotent() && possible_runs_ < options_.attempts);
}

// Starts a retry or a hedge if the retry budget allows it. Retries of a request
// that never left this host are not counted: no upstream sees them as extra
// load.
void service_fetch::start_extra_attempt(retry_budget::attempt_kind kind,
                                        time_point now)
{
    if (!may_start_extra_attempt(now)) {
        return;
    }
    choice_failure why = choice_failure::none_usable;
    bool const hedge = kind == retry_budget::attempt_kind::hedge;
    auto const upstream =
        choose(now, why, hedge ? latest_hedge_finish(now) : std::nullopt);
    if (!upstream) {
        return;
    }
    if (attempt_count_ > 0 &&
        !options_.shared->budget(*options_.service).take(kind, now)) {
        ++options_.shared->budget_refusals;
        return;
    }
    if (hedge) {
        ++hedges_;
        ++options_.shared->hedges;
        if (options_.remaining_hedges) {
            --*options_.remaining_hedges;
        }
    }
    else {
        ++options_.shared->retries;
    }
    start_attempt(upstream, now);
}

void service_fetch::on_outcome(std::size_t n, exchange_outcome outcome)
{
    auto const now = options_.shared->now();
    end_attempt(attempts_[n]);
    attempts_[n].outcome = outcome_of(outcome);
    attempts_[n].elapsed = now - attempts_[n].start;
    // A copy, since a further attempt may reallocate attempts_.
    auto const it = attempts_[n];
    if (lost_by_upstream(outcome, *it.upstream)) {
        options_.shared->crashes.on_lost(options_.request->print,
                                         lifetime_id(it.upstream->record),
                                         options_.query_id, now);
        if (options_.query) {
            ++options_.query->lost;
        }
    }
    std::visit(
        overloaded{
            [&](upstream_answer& answer) {
                on_answer(it, std::move(answer), now);
            },
            [&](exchange_not_sent const&) {
                it.upstream->released(it.start);
                --attempt_count_;
                --possible_runs_;
                ++connect_failures_;
                retry_or_finish(now);
            },
            [&](exchange_lost const& lost) {
                if (lost.closed_by_host) {
                    it.upstream->timed_out(
                        it.start, now,
                        relative_latency(
                            options_.shared->latencies[options_.route->name],
                            now - it.start));
                }
                else {
                    it.upstream->failed(it.start, now);
                }
                failure_ = {.fault = fetch_fault::lost};
                retry_or_finish(now);
            }},
        outcome);
}

void service_fetch::on_answer(attempt const& it, upstream_answer&& answer,
                              time_point now)
{
    options_.shared->fleet.mark_responsive(*it.upstream);
    if (has_run(answer)) {
        options_.shared->crashes.on_answered(options_.request->print,
                                             is_success(answer), now);
        if (options_.query) {
            options_.query->answered = true;
        }
    }
    options_.shared->fleet.on_answer(*it.upstream, answer.signals, it.start,
                                     now);
    if (answer.wrong_instance) {
        it.upstream->released(it.start);
        it.upstream->address_reused = true;
        --possible_runs_;
        failure_ = {.fault = fetch_fault::no_upstream};
        retry_or_finish(now);
        return;
    }
    if (answer.not_run) {
        it.upstream->failed(it.start, now);
        --possible_runs_;
        if (failure_.fault != fetch_fault::failed &&
            failure_.fault != fetch_fault::lost) {
            failure_ = {.fault = fetch_fault::refused};
        }
        retry_or_finish(now);
        return;
    }
    if (is_success(answer) && !answer.stamp.empty()) {
        on_success(it, std::move(answer), now);
        return;
    }
    it.upstream->failed(it.start, now);
    if (is_success(answer)) {
        // Without a stamp the answer may be that of another instance.
        failure_ = {.fault = fetch_fault::lost};
    }
    else {
        failure_ = {.fault = fetch_fault::failed, .answer = std::move(answer)};
    }
    retry_or_finish(now);
}

void service_fetch::on_success(attempt const& it, upstream_answer&& answer,
                               time_point now)
{
    auto& latency = options_.shared->latencies[options_.route->name];
    auto const elapsed = now - it.start;
    auto const relative = relative_latency(latency, elapsed);
    latency.add(elapsed);
    if (auto const work = it.upstream->work_of(it.start, now)) {
        options_.shared->costs.add(key(), *work);
    }
    it.upstream->answered(it.start, now, relative);
    finish(std::move(answer));
}

// Retries on another upstream if possible. Otherwise waits for open attempts,
// or schedules a retry after a refusal; fails the fetch when none of these is
// possible.
void service_fetch::retry_or_finish(time_point now)
{
    start_extra_attempt(retry_budget::attempt_kind::retry, now);
    if (open_attempts() > 0 || retry_at_) {
        return;
    }
    bool const refused = failure_.fault == fetch_fault::refused;
    auto const retry_time = now + options_.shared->settings.retry_delay;
    bool const wait_for_others = held() && options_.query->open > 0;
    if (wait_for_others || (refused && may_start_extra_attempt(retry_time))) {
        retry_at_ = retry_time;
        if (options_.on_timer_changed) {
            options_.on_timer_changed();
        }
        return;
    }
    finish(fetch_failure(std::move(failure_)));
}

bool service_fetch::lost_attempt() const
{
    return std::any_of(
        attempts_.begin(), attempts_.end(),
        [](attempt const& it) { return it.outcome == attempt_outcome::lost; });
}

bool service_fetch::late() const
{
    return std::any_of(attempts_.begin(), attempts_.end(),
                       [](attempt const& it) {
                           return it.outcome == attempt_outcome::answered &&
                                  it.predicted.tail > 0 &&
                                  to_ms(it.elapsed) > it.predicted.tail;
                       });
}

void service_fetch::append_attempts(std::string& out) const
{
    auto const now = options_.shared->now();
    for (auto const& it : attempts_) {
        bool const open = it.outcome == attempt_outcome::open;
        out += it.upstream->record.instance;
        if (options_.shared->versions && !it.upstream->record.version.empty()) {
            out += '(' + it.upstream->record.version + ')';
        }
        out += '=';
        out += name_of(attempt_outcome_names, it.outcome);
        out += '@';
        out += std::to_string(
            static_cast<int>(to_ms(open ? now - it.start : it.elapsed)));
        if (it.predicted.mean > 0) {
            out += '~';
            out += std::to_string(static_cast<int>(it.predicted.mean));
        }
        out += ' ';
    }
}

std::size_t service_fetch::open_attempts() const
{
    return static_cast<std::size_t>(
        std::count_if(attempts_.begin(), attempts_.end(),
                      [](attempt const& it) { return it.open; }));
}

void service_fetch::finish(fetch_result result)
{
    if (done()) {
        return;
    }
    result_ = std::move(result);
    stop();
    if (options_.on_done) {
        options_.on_done();
    }
}

// Exchanges of a request that may run at most once stay open until the
// deadline, since the caller could not safely send the request again.
void service_fetch::stop()
{
    auto const close_at =
        idempotent() ? std::min(options_.end,
                                options_.shared->now() +
                                    options_.shared->settings.release_grace)
                     : options_.end;
    for (auto& it : attempts_) {
        if (it.open) {
            end_attempt(it);
            options_.shared->exchanges.release(it.id, close_at);
        }
    }
}

} // namespace snipemill
