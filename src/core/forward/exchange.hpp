#pragma once

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

// A whole answer of an upstream to one request.
struct upstream_answer
{
    unsigned status = 0;
    header_list headers; // end-to-end ones, as the upstream sent them
    std::string body;
    std::string stamp;    // the upstream's proof of the answer; may be empty
    bool not_run = false; // the upstream states that the request did not run
    // The request named an instance that is not at this address.
    bool wrong_instance = false;
    std::optional<reported_load> load;
};

// No byte of the request left this host.
struct exchange_not_sent
{};

// A byte may have left, and no whole answer arrived.
struct exchange_lost
{
    bool closed_by_host = false; // this host gave up, not the upstream
};

using exchange_outcome =
    std::variant<upstream_answer, exchange_not_sent, exchange_lost>;

// What a caller asked for, ready to be sent to upstreams.
struct forward_request
{
    std::string id;
    std::string method;
    std::string target;
    std::string text; // request line and headers that all upstreams get
    std::string body;
};

using exchange_id = std::uint64_t;

// Sends requests to upstreams. The callback is called once, never inside
// send(), also after release().
class exchange_port
{
public:
    virtual ~exchange_port() = default;

    virtual exchange_id
    send(upstream_ptr upstream, std::shared_ptr<forward_request const> request,
         time_point deadline,
         std::function<void(exchange_outcome)> on_outcome) = 0;
    // The answer is not needed any more. The exchange may end until the given
    // time, so that its connection can be kept; then the upstream is made to
    // stop by closing the connection.
    virtual void release(exchange_id id, time_point close_at) = 0;
};

} // namespace snipemill
