#pragma once

#include "adapters/net/accept_loop.hpp"
#include "adapters/peer/h2_session.hpp"
#include "adapters/peer/peer_link.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_set>

namespace snipemill {

// Listening socket and sessions of a peer_server.
class peer_acceptor : public std::enable_shared_from_this<peer_acceptor>
{
public:
    peer_acceptor(boost::asio::io_context& io, peer_link_options const& options,
                  peer_handler handler);

    void start();
    void drain();
    // Closes everything; handlers are not told.
    void stop();
    std::uint16_t port() const { return listener_->port(); }
    std::size_t open_streams() const;
    peer_counters const& counters() const { return *counters_; }

private:
    void add(boost::asio::ip::tcp::socket socket);

    peer_link_options options_;
    std::shared_ptr<peer_handler const> handler_;
    std::shared_ptr<peer_counters> counters_;
    std::shared_ptr<receive_budget> budget_;
    std::shared_ptr<accept_loop> listener_;
    std::unordered_set<std::shared_ptr<h2_session>> sessions_;
};

} // namespace snipemill
