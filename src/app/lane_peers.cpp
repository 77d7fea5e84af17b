#include "app/lane.hpp"

#include <memory>
#include <utility>

namespace snipemill {

// The part of a lane that serves other hosts.

void lane::on_peer(peer_request const& request)
{
    if (request.path == "/peer/query") {
        serve_query(request);
    }
    else if (request.path == "/peer/cancel") {
        serve_cancel(request);
    }
    else if (request.path == "/peer/describe") {
        serve_describe(request);
    }
    else if (request.path == "/peer/submit") {
        serve_submit(request);
    }
    else {
        serve_control(request);
    }
}

void lane::serve_query(peer_request const& request)
{
    auto batch = decode_query_batch(request.message);
    if (!batch) {
        request.responder->send("", true);
        return;
    }
    env_.events->received(batch->time);
    auto const responder = request.responder;
    auto const peer = router_.open_batch(
        std::move(batch->message), [this, responder](query_part const& part) {
            responder->send(encode(env_.events->stamp(), part), part.final);
        });
    if (request.on_gone != nullptr) {
        *request.on_gone = [this, peer] { router_.close(peer); };
    }
}

void lane::serve_describe(peer_request const& request)
{
    auto asked = decode_describe_request(request.message);
    if (!asked) {
        request.responder->send("", true);
        return;
    }
    env_.events->received(asked->time);
    auto const responder = request.responder;
    auto const peer = router_.open_describe(
        asked->message, [this, responder](describe_answer const& answer) {
            responder->send(encode(env_.events->stamp(), answer), true);
        });
    if (request.on_gone != nullptr) {
        *request.on_gone = [this, peer] { router_.close(peer); };
    }
}

void lane::serve_submit(peer_request const& request)
{
    auto forward = decode_submit_forward(request.message);
    if (!forward) {
        request.responder->send("", true);
        return;
    }
    env_.events->received(forward->time);
    auto const responder = request.responder;
    // The submit goes on when the asking host has gone: it may be running.
    router_.open_submit(std::move(forward->message),
                        [this, responder](submit_result const& result) {
                            responder->send(
                                encode(env_.events->stamp(), result), true);
                        });
}

void lane::serve_cancel(peer_request const& request)
{
    if (auto const cancel = decode_cancel(request.message)) {
        env_.events->received(cancel->time);
        router_.cancel_targets(cancel->message.id, cancel->message.targets);
    }
    request.responder->send("", true);
}

void lane::serve_control(peer_request const& request)
{
    auto const responder = request.responder;
    env_.control->peer_request(
        request.path, request.message, [this, responder](std::string answer) {
            post([responder, answer = std::move(answer)]() mutable {
                responder->send(std::move(answer), true);
            });
        });
}

} // namespace snipemill
