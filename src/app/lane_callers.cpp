#include "app/core_time.hpp"
#include "app/lane.hpp"

#include <utility>

namespace snipemill {

// The part of a lane that serves callers over HTTP.

namespace {

constexpr std::string_view query_route = "/v1/query";
constexpr std::string_view submit_route = "/v1/submit";

void refuse(http_responder const& respond, failure const& f)
{
    respond({.status = http_status(f.code), .body = write_failure(f)});
}

} // namespace

void lane::start_draining(drain_times const& times)
{
    admission_.begin(times);
    callers_->refuse_reuse(true);
}

void lane::drain_callers()
{
    callers_->drain();
}

// What has run may go on at its upstream, so the outcome is unknown.
void lane::end_requests()
{
    failure const ended{.code = errc::deadline_exceeded,
                        .run = run_state::unknown,
                        .detail = "the host stops"};
    auto const queries = std::exchange(callers_pending_, {});
    for (auto const& it : queries) {
        refuse(it.second.respond, ended);
        with_query([&](time_point now, query_actions& out) {
            query_.on_caller_gone(now, it.first, out);
        });
    }
    auto const submits = std::exchange(submits_pending_, {});
    for (auto const& it : submits) {
        refuse(it.second, ended);
    }
}

std::optional<failure> lane::refusal_by_drain(idempotency kind,
                                              duration time_allowed) const
{
    auto const now = core_now();
    if (admission_.admits(kind, now, now + time_allowed)) {
        return std::nullopt;
    }
    env_.metrics->refused(errc::shutting_down);
    return failure{.code = errc::shutting_down,
                   .run = run_state::not_run,
                   .detail = "the host stops before the deadline"};
}

std::function<void()> lane::on_http(http_request const& request,
                                    http_responder respond)
{
    auto const is_query = request.target == query_route;
    auto const is_submit = request.target == submit_route;
    if (!is_query && !is_submit) {
        refuse(respond, {.code = errc::unknown_route,
                         .run = run_state::not_run,
                         .detail = "no such path: " + request.target});
        return {};
    }
    if (request.method != "POST") {
        refuse(respond, {.code = errc::unknown_route,
                         .run = run_state::not_run,
                         .detail = "the method must be POST"});
        return {};
    }
    return is_query ? on_query_request(request, std::move(respond))
                    : on_submit_request(request, std::move(respond));
}

std::function<void()> lane::on_query_request(http_request const& request,
                                             http_responder respond)
{
    auto parsed = parse_caller_query(request.body);
    if (auto const* f = std::get_if<failure>(&parsed)) {
        env_.metrics->refused(f->code);
        refuse(respond, *f);
        return {};
    }
    auto& query = std::get<caller_query>(parsed);
    if (auto const f = refusal_by_drain(idempotency::idempotent,
                                        query_.time_allowed(query))) {
        refuse(respond, *f);
        return {};
    }
    auto const caller = next_caller_++;
    callers_pending_[caller] = {.respond = std::move(respond),
                                .started = core_now()};
    with_query([&](time_point now, query_actions& out) {
        query_.on_query(now, caller, std::move(query), out);
    });
    return [this, caller] {
        callers_pending_.erase(caller);
        with_query([&](time_point now, query_actions& out) {
            query_.on_caller_gone(now, caller, out);
        });
    };
}

std::function<void()> lane::on_submit_request(http_request const& request,
                                              http_responder respond)
{
    auto const& key = request.header("idempotency-key");
    auto parsed = parse_caller_submit(request.body, key);
    if (auto const* f = std::get_if<failure>(&parsed)) {
        env_.metrics->refused(f->code);
        refuse(respond, *f);
        return {};
    }
    auto& submit = std::get<caller_submit>(parsed);
    if (auto const f =
            refusal_by_drain(idempotency::at_most_once, submit.deadline)) {
        refuse(respond, *f);
        return {};
    }
    auto const caller = next_caller_++;
    submits_pending_[caller] = std::move(respond);
    with_submit([&](time_point now, submit_actions& out) {
        submit_.on_submit(now, wall_us() / 1000, caller, std::move(submit),
                          out);
    });
    // A submit goes on when its caller has gone: the outcome is recorded.
    return [this, caller] { submits_pending_.erase(caller); };
}

} // namespace snipemill
