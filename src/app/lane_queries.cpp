#include "app/lane.hpp"

#include <utility>

namespace snipemill {

// The part of a lane that carries out the actions of the query engine.

void lane::run_action(send_batch& a)
{
    auto const id = a.batch.id;
    auto const to = a.to;
    if (is_self(to)) {
        auto const local =
            router_.open_batch(std::move(a.batch), [this, to](query_part part) {
                if (part.final) {
                    outgoing_.erase(part.id);
                }
                with_query([&](time_point now, query_actions& out) {
                    query_.on_part(now, to, std::move(part), out);
                });
            });
        outgoing_[id] = {.local = local};
        return;
    }
    auto const* address = address_of(to);
    if (address == nullptr) {
        post([this, to, id] {
            with_query([&](time_point now, query_actions& out) {
                query_.on_stream_failed(now, to, id, errc::peer_unreachable,
                                        out);
            });
        });
        return;
    }
    auto stream = peers_.open(*address, "/peer/query",
                              encode(env_.events->stamp(), a.batch),
                              [this, to, id](stream_event event) {
                                  on_batch_event(to, id, std::move(event));
                              });
    outgoing_[id] = {.stream = std::move(stream)};
}

void lane::on_batch_event(host_id const& to, request_id id, stream_event event)
{
    auto* message = std::get_if<std::string>(&event);
    if (message != nullptr) {
        auto part = decode_query_part(*message);
        if (part) {
            env_.events->received(part->time);
            if (part->message.final) {
                outgoing_.erase(id);
            }
            with_query([&](time_point now, query_actions& out) {
                query_.on_part(now, to, std::move(part->message), out);
            });
            return;
        }
    }
    auto const open = outgoing_.find(id);
    if (open == outgoing_.end()) {
        return; // the final part has been seen
    }
    if (message != nullptr) {
        open->second.stream->cancel();
    }
    outgoing_.erase(open);
    auto const* failed = std::get_if<stream_failed>(&event);
    auto const reason = failed ? failed->reason : errc::peer_protocol;
    with_query([&](time_point now, query_actions& out) {
        query_.on_stream_failed(now, to, id, reason, out);
    });
}

void lane::run_action(cancel_batch& a)
{
    auto const it = outgoing_.find(a.id);
    if (it == outgoing_.end()) {
        return;
    }
    auto const open = std::move(it->second);
    outgoing_.erase(it);
    if (open.local) {
        router_.close(*open.local);
    }
    else {
        open.stream->cancel();
    }
}

void lane::run_action(cancel_targets& a)
{
    if (is_self(a.to)) {
        router_.cancel_targets(a.id, a.targets);
        return;
    }
    auto const* address = address_of(a.to);
    if (address == nullptr) {
        return;
    }
    cancel_request const request{.id = a.id, .targets = a.targets};
    peers_.open(*address, "/peer/cancel", encode(env_.events->stamp(), request),
                [](stream_event const&) {});
}

// Submits are not concerned: what may have reached the owner must not be sent
// again, and their streams stay open.
void lane::on_peer_silence(host_id const& peer, bool silent)
{
    with_query([&](time_point now, query_actions& out) {
        if (silent) {
            query_.on_owner_silent(now, peer, out);
        }
        else {
            query_.on_owner_answering(peer);
        }
    });
}

void lane::run_action(send_describe& a)
{
    auto const id = a.request.id;
    auto const to = a.to;
    if (is_self(to)) {
        router_.open_describe(a.request, [this, to](describe_answer answer) {
            with_query([&](time_point now, query_actions& out) {
                query_.on_described(now, to, std::move(answer), out);
            });
        });
        return;
    }
    auto const* address = address_of(to);
    if (address == nullptr) {
        return; // the engine's own time limit ends the wait
    }
    auto stream = peers_.open(*address, "/peer/describe",
                              encode(env_.events->stamp(), a.request),
                              [this, to, id](stream_event event) {
                                  on_describe_event(to, id, std::move(event));
                              });
    outgoing_[id] = {.stream = std::move(stream)};
}

void lane::on_describe_event(host_id const& to, request_id id,
                             stream_event event)
{
    if (outgoing_.erase(id) == 0) {
        return;
    }
    auto const* message = std::get_if<std::string>(&event);
    auto answer = message ? decode_describe_answer(*message) : std::nullopt;
    if (answer) {
        env_.events->received(answer->time);
        with_query([&](time_point now, query_actions& out) {
            query_.on_described(now, to, std::move(answer->message), out);
        });
        return;
    }
    with_query([&](time_point now, query_actions& out) {
        query_.on_stream_failed(now, to, id, errc::peer_protocol, out);
    });
}

void lane::run_action(answer_caller& a)
{
    auto const it = callers_pending_.find(a.caller);
    if (it == callers_pending_.end()) {
        return;
    }
    auto const pending = std::move(it->second);
    callers_pending_.erase(it);
    if (auto const* answer = std::get_if<query_answer>(&a.result)) {
        env_.metrics->answered(*answer, core_now() - pending.started);
        pending.respond({.body = write_query_answer(*answer)});
        return;
    }
    auto const& failed = std::get<failure>(a.result);
    env_.metrics->refused(failed.code);
    pending.respond(
        {.status = http_status(failed.code), .body = write_failure(failed)});
}

} // namespace snipemill
