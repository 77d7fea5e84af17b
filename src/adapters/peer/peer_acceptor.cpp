#include "adapters/peer/peer_acceptor.hpp"

#include "adapters/peer/server_stream.hpp"

#include <utility>

namespace snipemill {

namespace asio = boost::asio;
using asio::ip::tcp;

peer_acceptor::peer_acceptor(asio::io_context& io,
                             peer_link_options const& options,
                             peer_handler handler)
    : options_(options),
      handler_(std::make_shared<peer_handler const>(std::move(handler))),
      counters_(std::make_shared<peer_counters>()),
      budget_(options.memory
                  ? options.memory
                  : std::make_shared<receive_budget>(options.max_received)),
      listener_(std::make_shared<accept_loop>(io, options_.ip, options_.port,
                                              options_.reuse_port))
{}

void peer_acceptor::start()
{
    listener_->start([weak = weak_from_this()](tcp::socket socket) {
        if (auto const self = weak.lock()) {
            self->add(std::move(socket));
        }
    });
}

void peer_acceptor::add(tcp::socket socket)
{
    auto const link = std::make_shared<std::weak_ptr<h2_session>>();
    h2_hooks hooks;
    hooks.accept = [link, handler = handler_, counters = counters_,
                    max = options_.max_message] {
        return std::make_shared<server_stream>(*link, max, handler, counters);
    };
    hooks.on_broken = [weak = weak_from_this(), link] {
        auto const self = weak.lock();
        if (auto const session = link->lock(); self && session) {
            self->sessions_.erase(session);
        }
    };
    auto const session = std::make_shared<h2_session>(
        std::move(socket), h2_role::server, options_, counters_, budget_,
        std::move(hooks));
    *link = session;
    sessions_.insert(session);
    session->start();
}

// Connections that the kernel has already accepted get a GOAWAY as well; the
// requests on a connection that is reset would count as possibly run.
void peer_acceptor::drain()
{
    listener_->drain();
    auto const sessions = sessions_;
    for (auto const& it : sessions) {
        it->go_away();
    }
}

void peer_acceptor::stop()
{
    listener_->stop();
    auto const sessions = std::exchange(sessions_, {});
    for (auto const& it : sessions) {
        it->discard();
    }
}

std::size_t peer_acceptor::open_streams() const
{
    std::size_t n = 0;
    for (auto const& it : sessions_) {
        n += it->streams();
    }
    return n;
}

} // namespace snipemill
