#include "app/lane.hpp"

#include <optional>
#include <utility>

namespace snipemill {

// The part of a lane that carries out the actions of the submit engine.

void lane::run_action(put_claim& a)
{
    auto const id = a.id;
    env_.control->put_claim(
        a.key, write_claim(a.value), a.if_version,
        [this, id](platform_result<platform_object> result) {
            post([this, id, result = std::move(result)]() mutable {
                on_claim_written(id, std::move(result));
            });
        });
}

void lane::on_claim_written(request_id id,
                            platform_result<platform_object> result)
{
    auto outcome = claim_write::written;
    std::uint64_t version = 0;
    if (auto const* object = std::get_if<platform_object>(&result)) {
        version = object->version;
    }
    else {
        switch (std::get<platform_error>(result)) {
        case platform_error::conflict:
        case platform_error::not_found:
            outcome = claim_write::conflict;
            break;
        case platform_error::ambiguous:
            outcome = claim_write::ambiguous;
            break;
        case platform_error::not_sent:
        case platform_error::refused:
        case platform_error::history_gone: // of watches only
            outcome = claim_write::not_sent;
            break;
        }
    }
    with_submit([&](time_point now, submit_actions& out) {
        submit_.on_claim_written(now, id, outcome, version, out);
    });
}

void lane::run_action(get_claim& a)
{
    auto const id = a.id;
    env_.control->get_claim(
        a.key, [this, id](platform_result<platform_object> result) {
            post([this, id, result = std::move(result)]() mutable {
                on_claim_read(id, std::move(result));
            });
        });
}

void lane::on_claim_read(request_id id, platform_result<platform_object> result)
{
    std::optional<claim> found;
    std::uint64_t version = 0;
    auto reachable = true;
    if (auto const* object = std::get_if<platform_object>(&result)) {
        found = parse_claim(object->value);
        version = object->version;
        reachable = found.has_value();
    }
    else {
        reachable =
            std::get<platform_error>(result) == platform_error::not_found;
    }
    with_submit([&](time_point now, submit_actions& out) {
        submit_.on_claim_read(now, id, reachable, std::move(found), version,
                              out);
    });
}

void lane::run_action(forward_submit& a)
{
    auto const id = a.request.id;
    if (is_self(a.to)) {
        router_.open_submit(std::move(a.request), [this](submit_result result) {
            with_submit([&](time_point now, submit_actions& out) {
                submit_.on_result(now, std::move(result), out);
            });
        });
        return;
    }
    auto const* address = address_of(a.to);
    if (address == nullptr) {
        post([this, id] {
            with_submit([&](time_point now, submit_actions& out) {
                submit_.on_forward_failed(now, id, false, out);
            });
        });
        return;
    }
    auto stream = peers_.open(*address, "/peer/submit",
                              encode(env_.events->stamp(), a.request),
                              [this, id](stream_event event) {
                                  on_submit_event(id, std::move(event));
                              });
    outgoing_[id] = {.stream = std::move(stream)};
}

void lane::on_submit_event(request_id id, stream_event event)
{
    if (outgoing_.erase(id) == 0) {
        return;
    }
    auto const* message = std::get_if<std::string>(&event);
    auto result = message ? decode_submit_result(*message) : std::nullopt;
    if (result) {
        env_.events->received(result->time);
        with_submit([&](time_point now, submit_actions& out) {
            submit_.on_result(now, std::move(result->message), out);
        });
        return;
    }
    auto const* failed = std::get_if<stream_failed>(&event);
    auto const sent = failed == nullptr || failed->sent;
    with_submit([&](time_point now, submit_actions& out) {
        submit_.on_forward_failed(now, id, sent, out);
    });
}

void lane::run_action(answer_submit& a)
{
    auto const it = submits_pending_.find(a.caller);
    if (it == submits_pending_.end()) {
        return;
    }
    auto const respond = std::move(it->second);
    submits_pending_.erase(it);
    http_response response;
    if (a.repeated) {
        response.headers.emplace_back("idempotent-replayed", "true");
    }
    if (auto* answered = std::get_if<submit_answered>(&a.result)) {
        response.status = answered->status;
        response.body = std::move(answered->body);
    }
    else {
        auto const& failed = std::get<failure>(a.result);
        env_.metrics->refused(failed.code);
        response.status = http_status(failed.code);
        response.body = write_failure(failed);
    }
    respond(std::move(response));
}

} // namespace snipemill
