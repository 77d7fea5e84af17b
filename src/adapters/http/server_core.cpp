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
      budget_(options.memory
                  ? options.memory
                  : std::make_shared<receive_budget>(options.max_received)),
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

bool server_core::take_turn(std::shared_ptr<server_connection> const& it)
{
    if (turns_ < options_.max_pipelined) {
        ++turns_;
        return true;
    }
    queue_.push_back(it);
    return false;
}

void server_core::end_turn()
{
    --turns_;
    while (!queue_.empty() && turns_ < options_.max_pipelined) {
        auto const it = std::move(queue_.front());
        queue_.pop_front();
        turns_ += it->begin_turn() ? 1 : 0;
    }
}

void server_core::leave_queue(server_connection const* it)
{
    std::erase_if(queue_,
                  [it](auto const& other) { return other.get() == it; });
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
    queue_.clear();
    for (auto const& it : connections) {
        it->stop();
    }
}

} // namespace snipemill
