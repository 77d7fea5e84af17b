#include "core/forward/request_run.hpp"

#include "core/base/hash.hpp"
#include "core/forward/request_fingerprint.hpp"
#include "core/forward/required_shards.hpp"
#include "core/forward/shard_merge.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <utility>

namespace snipemill {

namespace {

// Limit of the fetches whose attempts are written to a log line: a wide query
// with many failures would give a very long line.
constexpr std::size_t max_logged_fetches = 4;

upstream_answer const* answer_of(service_fetch& fetch)
{
    return fetch.done() ? std::get_if<upstream_answer>(&fetch.result())
                        : nullptr;
}

fetch_failure* failure_of(service_fetch& fetch)
{
    return fetch.done() ? std::get_if<fetch_failure>(&fetch.result()) : nullptr;
}

} // namespace

request_run::request_run(options o) : options_(std::move(o))
{
    assert(options_.shared && options_.settings && options_.route &&
           !options_.services.empty());
    auto const margin = std::clamp(
        std::chrono::duration_cast<duration>(options_.route->objective *
                                             options_.settings->answer_margin),
        options_.settings->min_answer_margin,
        options_.settings->max_answer_margin);
    partial_answer_at_ =
        options_.arrival + std::max(options_.route->objective - margin,
                                    options_.route->objective / 2);
}

bool request_run::enough_available(time_point now) const
{
    auto const n =
        std::count_if(options_.services.begin(), options_.services.end(),
                      [&](auto const* it) {
                          return options_.shared->fleet.available(*it, now);
                      });
    auto const* const target = gather();
    return static_cast<std::size_t>(n) >=
           (target ? required_shards(*target) : 1);
}

crash_admission request_run::admit(options const& o)
{
    auto& shared = *o.shared;
    auto const print = o.request->print;
    auto const now = shared.now();
    if (shared.crashes.verdict(print, now) != crash_verdict::refused) {
        return {};
    }
    std::size_t available = 0;
    for (auto const* const it : o.services) {
        available =
            std::max(available, shared.fleet.available_upstreams(*it, now));
    }
    if (shared.crashes.take_trial(print, available, now)) {
        return {.trial = true};
    }
    ++shared.quarantined;
    return {
        .refusal = error_answer{
            .status = 503,
            .reason = {.code = errc::quarantined,
                       .run = run_state::not_run,
                       .detail = "upstreams ended while they ran the request"},
            .retry_after = std::max(o.settings->retry_no_upstream,
                                    shared.crashes.refused_for(print, now))}};
}

void request_run::start()
{
    auto const now = options_.shared->now();
    for (auto const* const it : options_.services) {
        options_.shared->budget(*it).count_request(now);
    }
    if (!options_.trial) {
        auto admission = admit(options_);
        if (admission.refusal) {
            finish(std::move(*admission.refusal));
            return;
        }
        options_.trial = admission.trial;
    }
    if (!enough_available(now)) {
        answer_failure(refusal_fault());
        return;
    }
    remaining_hedges_ = static_cast<std::uint32_t>(
        std::ceil(options_.settings->max_hedged_share *
                  static_cast<double>(options_.services.size())));
    bool const suspect = options_.trial || options_.shared->crashes.verdict(
                                               options_.request->print, now) ==
                                               crash_verdict::suspect;
    auto const attempts = options_.attempts.value_or(options_.route->attempts);
    fetches_.reserve(options_.services.size());
    for (auto const* const it : options_.services) {
        fetches_.push_back(
            std::make_unique<service_fetch>(service_fetch::options{
                .shared = options_.shared,
                .route = options_.route,
                .service = it,
                .request = options_.request,
                .attempts = suspect ? 1 : attempts,
                .suspect = suspect,
                .trial = options_.trial,
                .end = options_.end,
                .remaining_hedges = &remaining_hedges_,
                .query = gather() ? &query_ : nullptr,
                .query_id = gather() ? hash_bytes(options_.request->id) : 0,
                .on_done =
                    [this] {
                        if (!starting_) {
                            finish_if_ready(options_.shared->now());
                        }
                    },
                .on_timer_changed = options_.on_timer_changed}));
    }
    if (suspect && gather()) {
        start_first_step(now);
    }
    else {
        start_fetches();
    }
    finish_if_ready(now);
}

void request_run::start_fetches()
{
    starting_ = true;
    for (std::size_t i = 0; i < fetches_.size(); ++i) {
        if (i != first_step_) {
            fetches_[i]->start();
        }
    }
    starting_ = false;
    first_step_.reset();
}

// Sends a query that may have ended upstreams to one shard only, one with a
// second upstream if there is any.
void request_run::start_first_step(time_point now)
{
    auto const available = [&](std::string const* service) {
        return std::min<std::size_t>(
            2, options_.shared->fleet.available_upstreams(*service, now));
    };
    auto const& services = options_.services;
    auto const n = static_cast<std::size_t>(
        std::max_element(services.begin(), services.end(),
                         [&](auto const* a, auto const* b) {
                             return available(a) < available(b);
                         }) -
        services.begin());
    first_step_ = n;
    starting_ = true;
    fetches_[n]->start();
    starting_ = false;
}

void request_run::finish_first_step()
{
    auto& first = *fetches_[*first_step_];
    if (auto const* const failure = failure_of(first)) {
        answer_failure(failure->fault);
        return;
    }
    start_fetches();
}

// Reason for a refusal before any attempt.
fetch_fault request_run::refusal_fault() const
{
    auto const n = std::count_if(
        options_.services.begin(), options_.services.end(),
        [&](auto const* it) { return options_.shared->fleet.reachable(*it); });
    auto const* const target = gather();
    auto const needed = target ? required_shards(*target) : 1;
    return static_cast<std::size_t>(n) >= needed ? fetch_fault::saturated
                                                 : fetch_fault::no_upstream;
}

void request_run::cancel()
{
    if (done_) {
        return;
    }
    done_ = true;
    if (options_.route->kind == idempotency::idempotent) {
        for (auto const& it : fetches_) {
            it->stop();
        }
    }
}

std::optional<time_point> request_run::next_timer() const
{
    if (done_) {
        return std::nullopt;
    }
    auto next = options_.end;
    if (gather() && partial_answer_at_ > options_.shared->now()) {
        next = std::min(next, partial_answer_at_);
    }
    for (auto const& it : fetches_) {
        if (auto const at = it->next_timer()) {
            next = std::min(next, *at);
        }
    }
    return next;
}

void request_run::on_timer(time_point now)
{
    // on_timer() of a fetch may end the run.
    for (auto const& it : fetches_) {
        if (done_) {
            return;
        }
        it->on_timer(now);
    }
    if (!done_) {
        finish_if_ready(now);
    }
}

void request_run::finish_if_ready(time_point now)
{
    if (done_) {
        return;
    }
    if (first_step_ && fetches_[*first_step_]->done()) {
        finish_first_step();
    }
    if (done_) {
        return;
    }
    if (gather()) {
        finish_gather_if_ready(now);
    }
    else if (fetches_[0]->done()) {
        answer_single();
        return;
    }
    if (!done_ && now >= options_.end) {
        time_out();
    }
}

void request_run::finish_gather_if_ready(time_point now)
{
    auto const open = open_fetches();
    if (open == 0) {
        if (enough_answers()) {
            answer_merged();
            return;
        }
        for (auto const& it : fetches_) {
            if (auto const* const failure = failure_of(*it)) {
                answer_failure(failure->fault);
                return;
            }
        }
    }
    if (now >= partial_answer_at_ && enough_answers()) {
        answer_merged();
        return;
    }
    if (services_answered() + open < required_shards(*gather())) {
        // The open fetches cannot give enough answers any more.
        answer_failure(fetch_fault::no_upstream);
    }
}

std::size_t request_run::services_answered() const
{
    return static_cast<std::size_t>(
        std::count_if(fetches_.begin(), fetches_.end(),
                      [](auto const& it) { return answer_of(*it); }));
}

std::size_t request_run::open_fetches() const
{
    return static_cast<std::size_t>(
        std::count_if(fetches_.begin(), fetches_.end(),
                      [](auto const& it) { return !it->done(); }));
}

bool request_run::enough_answers() const
{
    return services_answered() >= required_shards(*gather());
}

bool request_run::may_have_run() const
{
    return std::any_of(fetches_.begin(), fetches_.end(),
                       [](auto const& it) { return it->may_have_run(); });
}

void request_run::answer_merged()
{
    merged_answer out;
    std::vector<std::string_view> bodies;
    for (auto const& it : fetches_) {
        if (auto const* const answer = answer_of(*it)) {
            out.stamps.push_back(answer->stamp);
            bodies.emplace_back(answer->body);
        }
        else {
            ++out.missing;
        }
    }
    out.body =
        merge_shard_answers(bodies, gather()->record_bytes, gather()->top);
    finish(std::move(out));
}

void request_run::answer_single()
{
    if (auto* const answer =
            std::get_if<upstream_answer>(&fetches_[0]->result())) {
        finish(proxied_answer{std::move(*answer)});
        return;
    }
    auto* const failure = failure_of(*fetches_[0]);
    // Callers take these statuses as "not run", so they are not passed on from
    // an upstream that did not state so.
    auto const implies_not_run = [](unsigned status) {
        return status == 408 || status == 421 || status == 429 || status == 503;
    };
    if (failure->fault == fetch_fault::failed &&
        !implies_not_run(failure->answer->status)) {
        finish(proxied_answer{std::move(*failure->answer)});
        return;
    }
    answer_failure(failure->fault);
}

void request_run::answer_failure(fetch_fault fault)
{
    auto const& settings = *options_.settings;
    auto const detail = std::string(name_of(fetch_fault_names, fault));
    if (may_have_run()) {
        finish_with_error(502, errc::upstream_failed, run_state::unknown,
                          detail, {});
        return;
    }
    bool const at_capacity =
        fault == fetch_fault::saturated || fault == fetch_fault::refused;
    finish_with_error(
        503, at_capacity ? errc::upstream_shed : errc::upstream_unreachable,
        run_state::not_run, detail,
        at_capacity ? retry_after_saturation() : settings.retry_no_upstream);
}

// Time until enough services have room again, as far as their upstreams tell.
duration request_run::retry_after_saturation() const
{
    auto const now = options_.shared->now();
    std::vector<duration> waits;
    for (auto const* const it : options_.services) {
        if (auto const wait = options_.shared->fleet.time_to_room(*it, now)) {
            waits.push_back(*wait);
        }
    }
    auto const& settings = *options_.settings;
    auto const needed = gather() ? required_shards(*gather()) : 1;
    if (waits.size() < needed) {
        return settings.retry_saturated;
    }
    std::sort(waits.begin(), waits.end());
    return std::clamp(waits[std::max<std::size_t>(1, needed) - 1],
                      settings.retry_saturated, settings.max_retry_saturated);
}

void request_run::time_out()
{
    if (done_) {
        return;
    }
    if (gather() && enough_answers()) {
        answer_merged();
        return;
    }
    finish_with_error(504, errc::deadline_exceeded,
                      may_have_run() ? run_state::unknown : run_state::not_run,
                      "request deadline exceeded", {});
}

void request_run::finish_with_error(unsigned status, errc code, run_state run,
                                    std::string const& detail,
                                    duration retry_after)
{
    finish(error_answer{.status = status,
                        .reason = {.code = code, .run = run, .detail = detail},
                        .retry_after = retry_after});
}

void request_run::finish(caller_answer answer)
{
    if (done_) {
        return;
    }
    done_ = true;
    if (options_.trial &&
        std::none_of(fetches_.begin(), fetches_.end(),
                     [](auto const& it) { return it->was_attempted(); })) {
        options_.shared->crashes.return_trial(options_.request->print);
    }
    for (auto const& it : fetches_) {
        it->stop();
    }
    options_.on_answer(std::move(answer));
}

void request_run::append_attempts(std::string& out) const
{
    std::size_t n = 0;
    for (auto const& it : fetches_) {
        if ((it->attempt_count() > 1 || !answer_of(*it) || it->late()) &&
            n < max_logged_fetches) {
            it->append_attempts(out);
            ++n;
        }
    }
}

run_summary request_run::summary() const
{
    run_summary out{.route = options_.route->name,
                    .manifest_version = options_.state->version,
                    .services =
                        static_cast<std::uint32_t>(options_.services.size())};
    std::array<std::uint32_t, fetch_fault_names.size()> faults{};
    std::uint32_t open = 0;
    for (auto const& it : fetches_) {
        out.attempt_count += it->attempt_count();
        out.hedges += it->hedges();
        if (!it->done()) {
            ++open;
        }
        else if (auto const* const failure = failure_of(*it)) {
            ++faults[static_cast<std::size_t>(failure->fault)];
        }
        else {
            ++out.services_answered;
        }
    }
    for (std::size_t i = 0; i < faults.size(); ++i) {
        if (faults[i] > 0) {
            out.faults += std::string(fetch_fault_names[i].second) + ":" +
                          std::to_string(faults[i]) + " ";
        }
    }
    if (open > 0) {
        out.faults += "open:" + std::to_string(open);
    }
    append_attempts(out.attempts);
    if (std::any_of(fetches_.begin(), fetches_.end(),
                    [](auto const& it) { return it->lost_attempt(); })) {
        out.print = to_text(options_.request->print);
    }
    return out;
}

} // namespace snipemill
