#pragma once

#include "adapters/http/http_server.hpp"
#include "adapters/net/byte_count.hpp"
#include "adapters/net/receive_budget.hpp"
#include "core/base/error.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace snipemill {

struct http_client_options
{
    std::string ip;
    std::uint16_t port = 0;
    std::string host; // value of the Host header; empty: the address
    std::size_t max_connections = 8;
    duration connect_timeout = from_ms(1000);
    std::size_t max_body = 4 * 1024 * 1024; // bytes
    // A server that does not acknowledge for this long counts as lost; 0: the
    // system's default.
    duration silence_limit{};
    std::shared_ptr<byte_count> bytes; // counts here, unless it is null
    // For the answers that are being received; null: max_body for each alone.
    std::shared_ptr<receive_budget> memory;
};

// The request had no answer; sent tells whether a byte may have left.
struct http_failed
{
    bool sent = false;
    errc reason = errc::internal;
};

using http_result = std::variant<http_response, http_failed>;

// HTTP/1.1 client of one server with a pool of kept connections. Requests
// above max_connections wait. Never repeats a request by itself.
class http_client
{
public:
    http_client(boost::asio::io_context& io,
                http_client_options const& options);
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    // f is called once, on the io_context's thread, never inside the call. When
    // the client is destroyed first, f is released without being called.
    void send(http_request request, duration timeout,
              std::function<void(http_result)> f);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace snipemill
