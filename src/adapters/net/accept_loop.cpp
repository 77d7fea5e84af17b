#include "adapters/net/accept_loop.hpp"

#include "adapters/net/listen.hpp"

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

accept_loop::accept_loop(asio::io_context& io, std::string const& ip,
                         std::uint16_t port, bool reuse_port)
    : io_(io), acceptor_(io), retry_(io)
{
    listen_on(acceptor_, ip, port, reuse_port);
    acceptor_.non_blocking(true);
    port_ = acceptor_.local_endpoint().port();
}

void accept_loop::start(handler f)
{
    handler_ = std::move(f);
    accept();
}

void accept_loop::accept()
{
    acceptor_.async_accept(
        [self = shared_from_this()](boost::system::error_code ec,
                                    tcp::socket socket) {
            // drain() may have closed the listening socket after this
            // connection was accepted and before this handler ran.
            if (!ec && !self->stopped_) {
                self->handler_(std::move(socket));
            }
            if (!self->acceptor_.is_open()) {
                return;
            }
            if (ec) {
                self->accept_later();
                return;
            }
            self->accept();
        });
}

void accept_loop::accept_later()
{
    retry_.expires_after(accept_retry);
    retry_.async_wait([self = shared_from_this()](boost::system::error_code) {
        if (self->acceptor_.is_open()) {
            self->accept();
        }
    });
}

void accept_loop::accept_pending()
{
    for (;;) {
        boost::system::error_code ec;
        tcp::socket socket(io_);
        acceptor_.accept(socket, ec);
        if (ec) {
            return;
        }
        handler_(std::move(socket));
    }
}

void accept_loop::drain()
{
    accept_pending();
    close();
}

void accept_loop::stop()
{
    stopped_ = true;
    close();
}

void accept_loop::close()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    retry_.cancel();
}

} // namespace snipemill
