#pragma once

#include "core/base/error.hpp"
#include "core/base/strong_id.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace snipemill {

// Address of another host's peer port.
struct peer_address
{
    host_id id;
    std::string ip;
    std::uint16_t port = 0;

    friend bool operator==(peer_address const&, peer_address const&) = default;
};

// The stream ended without a complete answer. sent tells whether a byte of
// the request may have reached the peer.
struct stream_failed
{
    errc reason = errc::peer_unreachable;
    bool sent = true;
};

// The peer has sent its last message and closed the stream.
struct stream_ended
{};

using stream_event = std::variant<std::string, stream_failed, stream_ended>;

// An open request to a peer. Destroying it does not cancel the request.
class peer_stream
{
public:
    virtual ~peer_stream() = default;
    // Resets the stream; no callback comes after this call.
    virtual void cancel() = 0;
};

// Requests to other hosts over HTTP/2 streams. A request has one message;
// the answer is a sequence of messages. f gets each message, and then either
// stream_failed or stream_ended once.
class peer_port
{
public:
    virtual ~peer_port() = default;

    virtual std::shared_ptr<peer_stream>
    open(peer_address const& to, std::string_view path, std::string message,
         std::function<void(stream_event)> f) = 0;
};

// The serving side of one stream.
class peer_responder
{
public:
    virtual ~peer_responder() = default;
    // Sends one message of the answer; last closes the stream after it. Has
    // no effect once the peer has reset the stream.
    virtual void send(std::string message, bool last) = 0;
};

// A request that arrived from a peer. on_gone must be set, if wanted, before
// the handler returns; it is called once when the peer resets the stream or
// the connection breaks before the last message was sent.
struct peer_request
{
    std::string path;
    std::string message;
    std::shared_ptr<peer_responder> responder;
    std::function<void()>* on_gone = nullptr;
};

using peer_handler = std::function<void(peer_request)>;

} // namespace snipemill
