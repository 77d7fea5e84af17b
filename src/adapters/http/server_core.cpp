#include "adapters/http/server_core.hpp"

#include "adapters/http/server_connection.hpp"
#include "adapters/net/listen.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/socket_base.hpp>

#include <chrono>
#include <utility>

namespace snipemill {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Wait after a failed accept; without it a process that is out of file
// descriptors would spin.
constexpr auto accept_retry = std::chrono::milliseconds(50);

// Connections above the limit that are being refused at one time.
constexpr std::size_t max_refusals = 100;

} // namespace

server_core::server_core(asio::io_context& io,
                         http_server_options const& options,
                         http_handler handler)
    : io_(io), options_(options), handler_(std::move(handler)), acceptor_(io),
      retry_(io)
{
    listen_on(acceptor_, options_.ip, options_.port, options_.reuse_port);
    acceptor_.non_blocking(true);
    port_ = acceptor_.local_endpoint().port();
}

void server_core::start()
{
    accept();
}

void server_core::accept()
{
    acceptor_.async_accept(
        [self = shared_from_this()](boost::system::error_code ec,
                                    tcp::socket socket) {
            if (ec == asio::error::operation_aborted ||
                !self->acceptor_.is_open()) {
                return;
            }
            if (ec) {
                self->accept_later();
                return;
            }
            self->add(std::move(socket));
            self->accept();
        });
}

void server_core::accept_later()
{
    retry_.expires_after(accept_retry);
    retry_.async_wait([self = shared_from_this()](boost::system::error_code) {
        if (self->acceptor_.is_open()) {
            self->accept();
        }
    });
}

void server_core::add(tcp::socket socket)
{
    if (connections_.size() >= options_.max_connections + max_refusals) {
        return;
    }
    bool const full = connections_.size() >= options_.max_connections;
    auto it = std::make_shared<server_connection>(shared_from_this(),
                                                  std::move(socket));
    connections_.insert(it);
    if (full) {
        it->refuse();
        return;
    }
    it->start();
}

void server_core::remove(std::shared_ptr<server_connection> const& connection)
{
    connections_.erase(connection);
}

// Connections that the kernel has already accepted are served; closing the
// listening socket would reset them.
void server_core::accept_pending()
{
    for (;;) {
        boost::system::error_code ec;
        tcp::socket socket(io_);
        acceptor_.accept(socket, ec);
        if (ec) {
            return;
        }
        add(std::move(socket));
    }
}

void server_core::drain()
{
    if (draining_) {
        return;
    }
    draining_ = true;
    accept_pending();
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    retry_.cancel();
    auto const connections = connections_;
    for (auto const& it : connections) {
        it->drain();
    }
}

void server_core::stop()
{
    draining_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    retry_.cancel();
    auto const connections = std::move(connections_);
    connections_.clear();
    for (auto const& it : connections) {
        it->stop();
    }
}

} // namespace snipemill
