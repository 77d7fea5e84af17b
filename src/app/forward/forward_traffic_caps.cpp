#include "adapters/forward/forward_text.hpp"
#include "app/core_time.hpp"
#include "app/forward/forward_traffic.hpp"
#include "core/base/overloaded.hpp"

#include <utility>

namespace snipemill {

// A request of an account, from its arrival to the decision about its cap.
struct forward_traffic::capped_request
{
    http_request request;
    http_responder respond;
    request_place place;
    std::string id;
    bool decided = false;
    std::function<void()> cancel_run; // of the admitted request
};

namespace {

struct refusal_answer
{
    unsigned status = 503;
    errc code = errc::internal;
};

refusal_answer answer_to(cap_decision const& decision)
{
    if (decision.over_cap()) {
        return {429, errc::over_usage_cap};
    }
    switch (decision.reason) {
    case cap_reason::deadline:
        return {504, errc::deadline_exceeded};
    case cap_reason::stopping:
        return {503, errc::shutting_down};
    default:
        return {503, errc::peer_unreachable};
    }
}

} // namespace

void forward_traffic::on_host_message(
    host_message const& message,
    std::function<void(host_message const&)> const& reply)
{
    if (!caps_) {
        return;
    }
    std::visit(
        overloaded{[&](cap_request const& it) { reply(caps_->on_request(it)); },
                   [&](cap_grant const& it) { caps_->on_grant(it); },
                   [](floor_message const&) {}, [](rollout_report const&) {},
                   [](rollout_instruction const&) {}},
        message);
}

std::function<void()>
forward_traffic::start_within_cap(http_request&& request,
                                  http_responder&& respond, request_place place)
{
    auto id = request.header(names_.request_id);
    auto const held = std::make_shared<capped_request>(
        capped_request{.request = std::move(request),
                       .respond = std::move(respond),
                       .place = std::move(place),
                       .id = std::move(id)});
    auto const& account = *held->place.caller.account;
    auto const number = caps_->admit(
        account, held->id, held->place.end,
        [this, held](cap_decision const& it) { on_cap_decided(*held, it); });
    if (held->decided) {
        return std::move(held->cancel_run);
    }
    return [this, held, number] {
        if (held->decided) {
            if (held->cancel_run) {
                held->cancel_run();
            }
            return;
        }
        held->decided = true;
        caps_->cancel(*held->place.caller.account, number);
        record_capped(*held, 499, "the caller disconnected");
    };
}

void forward_traffic::on_cap_decided(capped_request& it,
                                     cap_decision const& decision)
{
    it.decided = true;
    if (decision.admitted()) {
        it.cancel_run =
            start_run(std::move(it.request), std::move(it.respond), it.place);
        return;
    }
    auto const [status, code] = answer_to(decision);
    record_capped(it, status,
                  std::string(to_string(code)) + ": " +
                      std::string(name_of(cap_reason_names, decision.reason)));
    auto const respond = std::move(it.respond);
    respond(write_caller_answer(
        error_answer{.status = status,
                     .reason = {.code = code, .run = run_state::not_run},
                     .retry_after = decision.retry_after},
        names_));
}

// The request did not start, so it is left out of the latencies of its route.
void forward_traffic::record_capped(capped_request const& it, unsigned status,
                                    std::string const& reason) const
{
    metrics_.request_ended("", status, 0);
    auto const& place = it.place;
    log_request("request", it.id,
                {.route = place.route->name,
                 .manifest_version = place.manifest->state->version},
                {.status = status,
                 .latency = core_now() - place.arrival,
                 .reason = reason,
                 .account = place.caller.account->name});
}

} // namespace snipemill
