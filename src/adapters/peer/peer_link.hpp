#pragma once

#include "adapters/net/receive_budget.hpp"
#include "ports/peer_port.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipemill {

struct peer_link_options
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;                     // 0: any free port
    std::size_t max_message = 16 * 1024 * 1024; // bytes
    std::uint32_t max_streams = 10'000;         // concurrent, per connection
    std::uint32_t window = 4 * 1024 * 1024;     // flow control, bytes
    // Of all incomplete messages that are being received.
    std::size_t max_received = 32 * 1024 * 1024; // bytes
    std::shared_ptr<receive_budget> memory; // for them; null: one of that size
    bool reuse_port = false;                // several lanes listen on one port
    // A served connection that carries one of these paths counts as control
    // traffic as a whole.
    std::vector<std::string> control_paths;
};

struct peer_counters
{
    std::uint64_t streams_opened = 0;
    std::uint64_t streams_served = 0;
    std::uint64_t streams_failed = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t control_bytes_sent = 0;     // part of bytes_sent
    std::uint64_t control_bytes_received = 0; // part of bytes_received
    std::uint64_t protocol_errors = 0;
};

// Serves HTTP/2 streams of other hosts on one io_context. Each message is
// preceded by its length (4 bytes, big endian).
class peer_server
{
public:
    peer_server(boost::asio::io_context& io, peer_link_options const& options,
                peer_handler handler);
    ~peer_server();
    peer_server(peer_server const&) = delete;
    peer_server& operator=(peer_server const&) = delete;

    std::uint16_t port() const;
    // Accepts no more connections and sends GOAWAY; open streams end.
    void drain();
    std::size_t open_streams() const;
    peer_counters const& counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

// Opens streams to other hosts, one connection per peer, on one io_context.
// A connection is made on first use and made again after it broke.
class peer_client : public peer_port
{
public:
    peer_client(boost::asio::io_context& io, peer_link_options const& options);
    ~peer_client() override;
    peer_client(peer_client const&) = delete;
    peer_client& operator=(peer_client const&) = delete;

    std::shared_ptr<peer_stream>
    open(peer_address const& to, std::string_view path, std::string message,
         std::function<void(stream_event)> f) override;
    // Closes the connection to a host that is gone.
    void forget(host_id const& id);
    // f is told when a peer becomes silent, and when it answers again. The
    // connections made after this call report; open never calls f.
    void watch_silence(std::function<void(host_id const&, bool)> f);
    peer_counters const& counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace snipemill
