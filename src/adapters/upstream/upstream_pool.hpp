#pragma once

#include "adapters/net/receive_budget.hpp"
#include "ports/upstream_port.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace snipemill {

struct upstream_pool_options
{
    std::size_t max_answer = 4 * 1024 * 1024; // bytes
    // Of all answers that are being received.
    std::size_t max_total_answer = 64 * 1024 * 1024; // bytes
    // Set by the pool, for its connections.
    std::shared_ptr<receive_budget> memory;
    duration connect_timeout = from_ms(1000);
    duration status_timeout = from_ms(1000);
    duration cancel_grace = from_ms(1000); // then the connection is closed
};

struct upstream_counters
{
    std::uint64_t connects = 0;
    std::uint64_t connect_failures = 0;
    std::uint64_t requests = 0;
    std::uint64_t resets = 0;
    std::uint64_t truncated = 0;
    std::uint64_t malformed = 0;
};

// Connections of one lane to its upstreams over HTTP/1.1. Connections are
// opened outside requests and kept. A request is never repeated by the pool.
// Destroying the pool releases all callbacks without calling them.
class upstream_pool : public upstream_port
{
public:
    upstream_pool(boost::asio::io_context& io,
                  upstream_pool_options const& options);
    ~upstream_pool() override;
    upstream_pool(upstream_pool const&) = delete;
    upstream_pool& operator=(upstream_pool const&) = delete;

    void configure(set_connections const& request) override;
    void query(dispatch_query request,
               std::function<void(slot_handle, sub_result)> f) override;
    void submit(dispatch_submit request,
                std::function<void(slot_handle, submit_result)> f) override;
    void cancel(cancel_dispatch const& request) override;
    void status(upstream_id upstream,
                std::function<void(upstream_id, upstream_status)> f) override;
    void watch_lost_connections(std::function<void(upstream_id)> f) override;

    upstream_counters const& counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace snipemill
