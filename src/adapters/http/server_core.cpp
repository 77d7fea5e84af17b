#include "adapters/http/server_core.hpp"

#include "adapters/http/server_connection.hpp"

#include <utility>

namespace snipemill {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Connections above the limit that are being refused at one time.
constexpr std::size_t max_refusals = 100;

} // namespace

server_core::server_core(asio::io_context& io,
                         http_server_options const& options,
                         http_handler handler)
    : io_(io), options_(options), handler_(std::move(handler)),
      budget_(std::make_shared<receive_budget>(options.max_received)),
      listener_(std::make_shared<accept_loop>(io, options_.ip, options_.port,
                                              options_.reuse_port))
{}

void server_core::start()
{
    listener_->start([weak = weak_from_this()](tcp::socket socket) {
        if (auto const self = weak.lock()) {
            self->add(std::move(socket));
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
    if (draining_) {
        it->drain();
    }
}

void server_core::remove(std::shared_ptr<server_connection> const& connection)
{
    connections_.erase(connection);
}

void server_core::drain()
{
    if (draining_) {
        return;
    }
    draining_ = true;
    listener_->drain();
    auto const connections = connections_;
    for (auto const& it : connections) {
        it->drain();
    }
}

void server_core::stop()
{
    draining_ = true;
    listener_->stop();
    auto const connections = std::move(connections_);
    connections_.clear();
    for (auto const& it : connections) {
        it->stop();
    }
}

} // namespace snipemill
