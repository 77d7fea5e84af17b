#pragma once

#include "adapters/net/receive_budget.hpp"
#include "core/base/time.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipemill {

struct http_server_options
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;                    // 0: any free port
    std::size_t max_header = 16 * 1024;        // bytes
    std::size_t max_body = 1024 * 1024;        // bytes
    duration header_timeout = from_ms(10'000); // to receive a whole request
    duration idle_timeout = from_ms(60'000);   // between requests
    // Between two pieces of a body; header_timeout then holds for the header
    // alone. 0: header_timeout holds for the whole request.
    duration body_timeout{};
    // Of all requests that are being received. The largest of them is refused
    // when they need more.
    std::size_t max_received = 32 * 1024 * 1024; // bytes
    // Budget for what connections hold; null: one of max_received.
    std::shared_ptr<receive_budget> memory;
    // Input read ahead while a handler works. Above it the caller's disconnect
    // is only noticed when the response is written.
    std::size_t max_read_ahead = 8 * 1024; // bytes
    // Requests handled at one time that arrived before the response to the
    // request before them was sent. A host's share of a service may be as small
    // as 7 requests at a time; further ones wait.
    std::size_t max_pipelined = 4;
    std::size_t max_connections = 10'000;
    bool reuse_port = false; // several lanes listen on one port
};

struct http_request
{
    std::string method;
    std::string target; // path and query string, percent-encoded
    std::vector<std::pair<std::string, std::string>> headers; // lower case
    std::string body;
    std::chrono::steady_clock::time_point first_byte{}; // its arrival

    // Value of a header, empty when it is absent. name is in lower case.
    std::string const& header(std::string const& name) const;
    // Values of all headers of this name.
    std::vector<std::string_view> values(std::string_view name) const;
};

struct http_response
{
    unsigned status = 200;
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

// Answers one request; callable once, from the server's thread.
using http_responder = std::function<void(http_response)>;

// Handles a request. The returned function, if any, is called when the caller
// closes its connection before the response was sent.
using http_handler =
    std::function<std::function<void()>(http_request, http_responder)>;

// HTTP/1.1 server on one io_context. Malformed, oversized and slow requests
// are answered with a 4xx and a JSON error body, and counted. A response is
// written whole, or the connection is closed as an error.
class http_server
{
public:
    http_server(boost::asio::io_context& io, http_server_options const& options,
                http_handler handler);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    std::uint16_t port() const;
    // Holds for connections and requests that begin afterwards.
    void set_limits(std::size_t max_header, std::size_t max_body,
                    duration header_timeout, duration idle_timeout);
    // Whether callers are told with each response to use another connection.
    void refuse_reuse(bool refuse);
    // Accepts no more connections; open requests are answered, then their
    // connections are closed.
    void drain();
    std::size_t open_requests() const;
    std::size_t open_connections() const;
    std::uint64_t bad_requests() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace snipemill
