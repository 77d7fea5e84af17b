#include "core/forward/service_fetch.hpp"

#include "core/base/overloaded.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace snipemill {

namespace {

// Attempts that found no connection do not count as sends; this bounds them.
constexpr std::uint32_t max_connect_failures = 4;

bool success(upstream_answer const& it)
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
    if (!success(answer)) {
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

// Time of an exchange over the usual one of its route.
double relative_latency(route_latency const& latency, duration took)
{
    auto const mean = latency.mean();
    return mean > duration::zero() ? to_ms(took) / std::max(0.1, to_ms(mean))
                                   : 1.0;
}

// An exchange whose answer nobody waits for still tells about the upstream.
void late_outcome(fetch_context& shared, upstream_view& to,
                  route_latency const& latency, time_point start,
                  exchange_outcome const& outcome)
{
    auto const now = shared.now();
    auto const relative = relative_latency(latency, now - start);
    std::visit(overloaded{[&](upstream_answer const& answer) {
                              shared.fleet.alive(to);
                              if (answer.load) {
                                  to.report(*answer.load, now);
                              }
                              to.answered(start, now, relative);
                          },
                          [&](exchange_not_sent const&) { to.released(start); },
                          [&](exchange_lost const& lost) {
                              if (lost.closed_by_host) {
                                  to.timed_out(start, now, relative);
                              }
                              else {
                                  to.failed(start, now);
                              }
                          }},
               outcome);
}

} // namespace

service_fetch::service_fetch(options o) : o_(std::move(o))
{
    assert(o_.shared && o_.route && o_.service && o_.request);
}

service_fetch::~service_fetch()
{
    *alive_ = false;
    stop();
}

void service_fetch::start()
{
    auto const now = o_.shared->now();
    choice_failure why = choice_failure::none_usable;
    auto const to = choose(now, why);
    if (!to) {
        failure_.fault = why == choice_failure::saturated
                             ? fetch_fault::saturated
                             : fetch_fault::no_upstream;
        finish(fetch_failure(failure_));
        return;
    }
    send(to, now);
    schedule_hedge(now);
}

upstream_ptr service_fetch::choose(time_point now, choice_failure& why)
{
    return o_.shared->fleet.choose(
        {.service = o_.service, .exclude = &tried_, .now = now}, why);
}

void service_fetch::send(upstream_ptr const& to, time_point now)
{
    auto const n = attempts_.size();
    tried_.push_back(to);
    ++attempt_count_;
    ++runs_;
    to->sent(now);
    attempts_.push_back({.to = to, .start = now});
    attempts_[n].id = o_.shared->exchanges.send(
        to, o_.request, o_.end,
        [this, n, to, alive = alive_, shared = o_.shared,
         latency = &o_.shared->latencies[o_.route->name],
         start = now](exchange_outcome outcome) {
            if (*alive && attempts_[n].open) {
                on_outcome(n, std::move(outcome));
                return;
            }
            late_outcome(*shared, *to, *latency, start, outcome);
        });
}

void service_fetch::schedule_hedge(time_point now)
{
    if (!idempotent() || o_.attempts < 2) {
        return;
    }
    auto const& settings = o_.shared->settings;
    auto const objective = o_.route->objective;
    auto const part = [objective](double share) {
        return std::chrono::duration_cast<duration>(objective * share);
    };
    auto const& latency = o_.shared->latencies[o_.route->name];
    auto const delay = std::clamp(
        latency.hedge_delay(part(settings.first_hedge)), settings.min_hedge,
        std::max(settings.min_hedge, part(settings.max_hedge)));
    hedge_at_ = now + delay;
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
        // A replica that refused may have room again.
        tried_.clear();
        for (auto const& it : attempts_) {
            if (it.open) {
                tried_.push_back(it.to);
            }
        }
        send_again(retry_budget::use::retry, now);
        if (!done() && open_attempts() == 0 && !retry_at_) {
            finish(fetch_failure(failure_));
            return;
        }
    }
    if (hedge_at_ && now >= *hedge_at_) {
        hedge_at_.reset();
        for (auto& it : attempts_) {
            if (it.open && !it.overdue) {
                it.overdue = true;
                o_.shared->fleet.overdue(*it.to);
            }
        }
        bool const allowed = !o_.hedges_left || *o_.hedges_left > 0;
        if (allowed && may_send_again(now) && open_attempts() > 0) {
            send_again(retry_budget::use::hedge, now);
        }
    }
}

bool service_fetch::may_send_again(time_point now) const
{
    if (now + o_.shared->settings.min_time >= o_.end ||
        attempt_count_ >= o_.shared->settings.max_sends ||
        connect_failures_ >= max_connect_failures) {
        return false;
    }
    return runs_ == 0 || (idempotent() && runs_ < o_.attempts);
}

// Repeats the request within the budget. Repeats of a request that never left
// this host are free: no upstream sees them as extra.
void service_fetch::send_again(retry_budget::use use, time_point now)
{
    if (!may_send_again(now)) {
        return;
    }
    choice_failure why = choice_failure::none_usable;
    auto const to = choose(now, why);
    if (!to) {
        return;
    }
    if (attempt_count_ > 0 && !o_.shared->budget(*o_.service).take(use, now)) {
        ++o_.shared->budget_refusals;
        return;
    }
    if (use == retry_budget::use::hedge) {
        ++hedges_;
        ++o_.shared->hedges;
        if (o_.hedges_left) {
            --*o_.hedges_left;
        }
    }
    else {
        ++o_.shared->retries;
    }
    send(to, now);
}

void service_fetch::on_outcome(std::size_t n, exchange_outcome outcome)
{
    auto const now = o_.shared->now();
    attempts_[n].open = false;
    attempts_[n].outcome = outcome_of(outcome);
    attempts_[n].took = now - attempts_[n].start;
    auto const it = attempts_[n]; // another attempt may move the list
    std::visit(overloaded{[&](upstream_answer& answer) {
                              on_answer(it, std::move(answer), now);
                          },
                          [&](exchange_not_sent const&) {
                              it.to->released(it.start);
                              --attempt_count_;
                              --runs_;
                              ++connect_failures_;
                              after_failure(now);
                          },
                          [&](exchange_lost const& lost) {
                              if (lost.closed_by_host) {
                                  it.to->timed_out(
                                      it.start, now,
                                      relative_latency(
                                          o_.shared->latencies[o_.route->name],
                                          now - it.start));
                              }
                              else {
                                  it.to->failed(it.start, now);
                              }
                              failure_ = {.fault = fetch_fault::lost};
                              after_failure(now);
                          }},
               outcome);
}

void service_fetch::on_answer(attempt const& it, upstream_answer&& answer,
                              time_point now)
{
    o_.shared->fleet.alive(*it.to);
    if (answer.load) {
        it.to->report(*answer.load, now);
    }
    if (answer.wrong_instance) {
        it.to->released(it.start);
        it.to->address_reused = true;
        --runs_;
        failure_ = {.fault = fetch_fault::no_upstream};
        after_failure(now);
        return;
    }
    if (answer.not_run) {
        it.to->failed(it.start, now);
        --runs_;
        if (failure_.fault != fetch_fault::failed &&
            failure_.fault != fetch_fault::lost) {
            failure_ = {.fault = fetch_fault::refused};
        }
        after_failure(now);
        return;
    }
    if (success(answer) && !answer.stamp.empty()) {
        good_answer(it, std::move(answer), now);
        return;
    }
    it.to->failed(it.start, now);
    if (success(answer)) {
        // Without a proof it is not known whose answer this is.
        failure_ = {.fault = fetch_fault::lost};
    }
    else {
        failure_ = {.fault = fetch_fault::failed, .answer = std::move(answer)};
    }
    after_failure(now);
}

void service_fetch::good_answer(attempt const& it, upstream_answer&& answer,
                                time_point now)
{
    auto& latency = o_.shared->latencies[o_.route->name];
    auto const took = now - it.start;
    auto const relative = relative_latency(latency, took);
    latency.add(took);
    it.to->answered(it.start, now, relative);
    finish(std::move(answer));
}

// Waits for attempts that are still open, tries another replica, or the same
// ones after a pause; ends the fetch when nothing is left to try.
void service_fetch::after_failure(time_point now)
{
    send_again(retry_budget::use::retry, now);
    if (open_attempts() > 0 || retry_at_) {
        return;
    }
    bool const refused = failure_.fault == fetch_fault::refused;
    auto const again = now + o_.shared->settings.retry_pause;
    if (refused && may_send_again(again)) {
        retry_at_ = again;
        if (o_.on_timer_changed) {
            o_.on_timer_changed();
        }
        return;
    }
    finish(fetch_failure(std::move(failure_)));
}

void service_fetch::describe(std::string& out) const
{
    auto const now = o_.shared->now();
    for (auto const& it : attempts_) {
        bool const open = it.outcome == attempt_outcome::open;
        out += it.to->record.instance;
        out += '=';
        out += name_of(attempt_outcome_names, it.outcome);
        out += '@';
        out += std::to_string(
            static_cast<int>(to_ms(open ? now - it.start : it.took)));
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
    if (o_.on_done) {
        o_.on_done();
    }
}

// Work that may run only once is not broken off: its caller could not repeat
// it.
void service_fetch::stop()
{
    auto const close_at =
        idempotent() ? std::min(o_.end, o_.shared->now() +
                                            o_.shared->settings.release_grace)
                     : o_.end;
    for (auto& it : attempts_) {
        if (it.open) {
            it.open = false;
            o_.shared->exchanges.release(it.id, close_at);
        }
    }
}

} // namespace snipemill
