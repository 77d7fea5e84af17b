#pragma once

#include "adapters/http/http_server.hpp"
#include "adapters/net/accept_loop.hpp"
#include "adapters/net/receive_budget.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_set>

namespace snipemill {

class server_connection;

// Listening socket and connections of an http_server.
class server_core : public std::enable_shared_from_this<server_core>
{
public:
    server_core(boost::asio::io_context& io, http_server_options const& options,
                http_handler handler);

    void start();
    void drain();
    void stop();
    void remove(std::shared_ptr<server_connection> const& connection);

    boost::asio::io_context& io() { return io_; }
    http_server_options const& options() const { return options_; }
    http_handler const& handler() const { return handler_; }
    http_server_options& mutable_options() { return options_; }
    bool draining() const { return draining_; }
    void refuse_reuse(bool refuse) { reuse_refused_ = refuse; }
    bool reuse_refused() const { return reuse_refused_ || draining_; }
    std::size_t open_connections() const { return connections_.size(); }
    std::uint16_t port() const { return listener_->port(); }
    std::shared_ptr<receive_budget> const& budget() const { return budget_; }

    // Pipelined requests wait for a turn: begin_turn() is called when there is
    // room. Returns whether there is room at once.
    bool take_turn(std::shared_ptr<server_connection> const& it);
    void end_turn();
    void leave_queue(server_connection const* it);

    std::size_t open_requests = 0;
    std::uint64_t bad_requests = 0;

private:
    void add(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context& io_;
    http_server_options options_;
    http_handler handler_;
    std::shared_ptr<receive_budget> budget_;
    std::shared_ptr<accept_loop> listener_;
    std::unordered_set<std::shared_ptr<server_connection>> connections_;
    std::deque<std::shared_ptr<server_connection>> queue_; // for a turn
    std::size_t turns_ = 0;                                // in use
    bool draining_ = false;
    bool reuse_refused_ = false;
};

} // namespace snipemill
