#include "core/forward/request_run.hpp"

#include "core/forward/required_shards.hpp"
#include "core/forward/shard_merge.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <utility>

namespace snipemill {

namespace {

// Parts whose sends are told in a log line; more would make the lines of a wide
// query long when much fails.
constexpr std::size_t max_described = 4;

upstream_answer const* answer_of(service_fetch& part)
{
    return part.done() ? std::get_if<upstream_answer>(&part.result()) : nullptr;
}

fetch_failure* failure_of(service_fetch& part)
{
    return part.done() ? std::get_if<fetch_failure>(&part.result()) : nullptr;
}

} // namespace

request_run::request_run(options o) : o_(std::move(o))
{
    assert(o_.shared && o_.settings && o_.route && !o_.services.empty());
    auto const margin = std::clamp(
        std::chrono::duration_cast<duration>(o_.route->objective *
                                             o_.settings->answer_margin),
        o_.settings->min_answer_margin, o_.settings->max_answer_margin);
    cutoff_ = o_.arrival +
              std::max(o_.route->objective - margin, o_.route->objective / 2);
}

bool request_run::enough_available(time_point now) const
{
    auto const n = std::count_if(
        o_.services.begin(), o_.services.end(),
        [&](auto const* it) { return o_.shared->fleet.available(*it, now); });
    auto const* const target = gather();
    return static_cast<std::size_t>(n) >=
           (target ? required_shards(*target) : 1);
}

void request_run::start()
{
    auto const now = o_.shared->now();
    for (auto const* const it : o_.services) {
        o_.shared->budget(*it).count_request(now);
    }
    if (!enough_available(now)) {
        answer_failure(missing_fault());
        return;
    }
    starting_ = true;
    hedges_left_ = static_cast<std::uint32_t>(
        std::ceil(o_.settings->max_hedged_share *
                  static_cast<double>(o_.services.size())));
    parts_.reserve(o_.services.size());
    for (auto const* const it : o_.services) {
        parts_.push_back(std::make_unique<service_fetch>(service_fetch::options{
            .shared = o_.shared,
            .route = o_.route,
            .service = it,
            .request = o_.request,
            .attempts = o_.attempts.value_or(o_.route->attempts),
            .end = o_.end,
            .hedges_left = &hedges_left_,
            .on_done =
                [this] {
                    if (!starting_) {
                        check(o_.shared->now());
                    }
                },
            .on_timer_changed = o_.on_timer_changed}));
        parts_.back()->start();
    }
    starting_ = false;
    check(now);
}

// Why a request is refused before anything was sent.
fetch_fault request_run::missing_fault() const
{
    auto const n = std::count_if(
        o_.services.begin(), o_.services.end(),
        [&](auto const* it) { return o_.shared->fleet.reachable(*it); });
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
    if (o_.route->kind == idempotency::idempotent) {
        for (auto const& it : parts_) {
            it->stop();
        }
    }
}

std::optional<time_point> request_run::next_timer() const
{
    if (done_) {
        return std::nullopt;
    }
    auto next = o_.end;
    if (gather() && cutoff_ > o_.shared->now()) {
        next = std::min(next, cutoff_);
    }
    for (auto const& it : parts_) {
        if (auto const at = it->next_timer()) {
            next = std::min(next, *at);
        }
    }
    return next;
}

void request_run::on_timer(time_point now)
{
    // A part that ends may answer the request.
    for (auto const& it : parts_) {
        if (done_) {
            return;
        }
        it->on_timer(now);
    }
    if (!done_) {
        check(now);
    }
}

void request_run::check(time_point now)
{
    if (done_) {
        return;
    }
    if (gather()) {
        check_gather(now);
    }
    else if (parts_[0]->done()) {
        answer_single();
        return;
    }
    if (!done_ && now >= o_.end) {
        answer_end();
    }
}

void request_run::check_gather(time_point now)
{
    auto const open = open_parts();
    if (open == 0) {
        if (enough_parts()) {
            answer_merged();
            return;
        }
        for (auto const& it : parts_) {
            if (auto const* const failure = failure_of(*it)) {
                answer_failure(failure->fault);
                return;
            }
        }
    }
    if (now >= cutoff_ && enough_parts()) {
        answer_merged();
        return;
    }
    if (services_answered() + open < required_shards(*gather())) {
        // No part that is still open can complete the answer.
        answer_failure(fetch_fault::no_upstream);
    }
}

std::size_t request_run::services_answered() const
{
    return static_cast<std::size_t>(
        std::count_if(parts_.begin(), parts_.end(),
                      [](auto const& it) { return answer_of(*it); }));
}

std::size_t request_run::open_parts() const
{
    return static_cast<std::size_t>(
        std::count_if(parts_.begin(), parts_.end(),
                      [](auto const& it) { return !it->done(); }));
}

bool request_run::enough_parts() const
{
    return services_answered() >= required_shards(*gather());
}

bool request_run::may_have_run() const
{
    return std::any_of(parts_.begin(), parts_.end(),
                       [](auto const& it) { return it->may_have_run(); });
}

void request_run::answer_merged()
{
    merged_answer out;
    std::vector<std::string_view> bodies;
    for (auto const& it : parts_) {
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
            std::get_if<upstream_answer>(&parts_[0]->result())) {
        finish(proxied_answer{std::move(*answer)});
        return;
    }
    auto* const failure = failure_of(*parts_[0]);
    // A status that promises "not run" may not come from an upstream that did
    // not say so.
    auto const promises = [](unsigned status) {
        return status == 408 || status == 421 || status == 429 || status == 503;
    };
    if (failure->fault == fetch_fault::failed &&
        !promises(failure->answer->status)) {
        finish(proxied_answer{std::move(*failure->answer)});
        return;
    }
    answer_failure(failure->fault);
}

void request_run::answer_failure(fetch_fault fault)
{
    auto const& settings = *o_.settings;
    auto const detail = std::string(name_of(fetch_fault_names, fault));
    if (may_have_run()) {
        refuse(502, errc::upstream_failed, run_state::unknown, detail, {});
        return;
    }
    bool const full =
        fault == fetch_fault::saturated || fault == fetch_fault::refused;
    refuse(503, full ? errc::upstream_shed : errc::upstream_unreachable,
           run_state::not_run, detail,
           full ? settings.retry_saturated : settings.retry_no_upstream);
}

void request_run::answer_end()
{
    if (gather() && enough_parts()) {
        answer_merged();
        return;
    }
    refuse(504, errc::deadline_exceeded,
           may_have_run() ? run_state::unknown : run_state::not_run,
           "the time of the request is over", {});
}

void request_run::refuse(unsigned status, errc code, run_state run,
                         std::string const& detail, duration retry_after)
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
    for (auto const& it : parts_) {
        it->stop();
    }
    o_.on_answer(std::move(answer));
}

void request_run::describe_attempts(std::string& out) const
{
    std::size_t n = 0;
    for (auto const& it : parts_) {
        if ((it->attempt_count() > 1 || !answer_of(*it)) && n < max_described) {
            it->describe(out);
            ++n;
        }
    }
}

run_summary request_run::summary() const
{
    run_summary out{.route = o_.route->name,
                    .manifest_version = o_.state->version,
                    .services = static_cast<std::uint32_t>(o_.services.size())};
    std::array<std::uint32_t, fetch_fault_names.size()> faults{};
    std::uint32_t open = 0;
    for (auto const& it : parts_) {
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
    describe_attempts(out.attempts);
    return out;
}

} // namespace snipemill
