#include "adapters/peer/peer_acceptor.hpp"

#include "adapters/net/listen.hpp"
#include "adapters/peer/server_stream.hpp"

#include <chrono>
#include <utility>

namespace snipemill {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Wait after a failed accept; without it a process that is out of file
// descriptors would spin.
constexpr auto accept_retry = std::chrono::milliseconds(50);

} // namespace

peer_acceptor::peer_acceptor(asio::io_context& io,
                             peer_link_options const& options,
                             peer_handler handler)
    : io_(io), options_(options),
      handler_(std::make_shared<peer_handler const>(std::move(handler))),
      counters_(std::make_shared<peer_counters>()), acceptor_(io), retry_(io)
{
    listen_on(acceptor_, options_.ip, options_.port, options_.reuse_port);
    acceptor_.non_blocking(true);
    port_ = acceptor_.local_endpoint().port();
}

void peer_acceptor::start()
{
    accept();
}

void peer_acceptor::accept()
{
    acceptor_.async_accept(
        [self = shared_from_this()](boost::system::error_code ec,
                                    tcp::socket socket) {
            if (!self->acceptor_.is_open()) {
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

void peer_acceptor::accept_later()
{
    retry_.expires_after(accept_retry);
    retry_.async_wait([self = shared_from_this()](boost::system::error_code) {
        if (self->acceptor_.is_open()) {
            self->accept();
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
    auto const session =
        std::make_shared<h2_session>(std::move(socket), h2_role::server,
                                     options_, counters_, std::move(hooks));
    *link = session;
    sessions_.insert(session);
    session->start();
}

// Connections that the kernel has already accepted get a GOAWAY as well.
// Closing the listening socket would reset them, and their requests would
// count as possibly run.
void peer_acceptor::accept_pending()
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

void peer_acceptor::drain()
{
    accept_pending();
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    retry_.cancel();
    auto const sessions = sessions_;
    for (auto const& it : sessions) {
        it->go_away();
    }
}

void peer_acceptor::stop()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    retry_.cancel();
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
