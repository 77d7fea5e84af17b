#pragma once

#include "core/base/strong_id.hpp"
#include "core/forward/upstream_view.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace snipemill {

using header_list = std::vector<std::pair<std::string, std::string>>;

// A complete answer of an upstream to one request.
struct upstream_answer
{
    unsigned status = 0;
    header_list headers; // end-to-end headers, as received
    std::string body;
    std::string stamp;    // proves which upstream answered; may be empty
    bool not_run = false; // the upstream states that it did not run the request
    // The request names an instance that is not at this address.
    bool wrong_instance = false;
    upstream_signals signals;
};

// No byte of the request left this host.
struct exchange_not_sent
{};

// Some bytes may have been sent, but no complete answer arrived.
struct exchange_lost
{
    bool closed_by_host = false; // closed by this host, not by the upstream
};

using exchange_outcome =
    std::variant<upstream_answer, exchange_not_sent, exchange_lost>;

// A caller's request in the form that is sent to upstreams.
struct forward_request
{
    std::string id;
    std::string method;
    std::string target;
    std::string text; // request line and headers common to all upstreams
    std::string body;
    fingerprint print;   // of the request_identity
    std::string account; // name of the caller's account; may be empty
};

using exchange_id = std::uint64_t;

// Sends requests to upstreams. The callback is called exactly once, also after
// release(), and never from within send().
class exchange_port
{
public:
    virtual ~exchange_port() = default;

    virtual exchange_id
    send(upstream_ptr upstream, std::shared_ptr<forward_request const> request,
         time_point deadline,
         std::function<void(exchange_outcome)> on_outcome) = 0;
    // Tells the port that the answer is no longer needed. The exchange may
    // still end before close_at, so that its connection can be reused; after
    // that the connection is closed, which makes the upstream stop.
    virtual void release(exchange_id id, time_point close_at) = 0;
};

} // namespace snipemill
