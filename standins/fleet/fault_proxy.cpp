#include "fleet/fault_proxy.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <string>
#include <utility>

namespace standin {

namespace asio = boost::asio;
using asio::ip::tcp;

// A connection of a client and the matching connection to the server.
class fault_proxy::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(asio::io_context& io, tcp::socket client, fault_proxy& proxy)
        : client_{std::move(client)}, server_{tcp::socket(io)}, io_(io),
          proxy_(&proxy)
    {}

    void start()
    {
        server_.socket.async_connect(
            proxy_->to_, [self = shared_from_this()](auto ec) {
                if (ec || !self->proxy_) {
                    self->reset();
                    return;
                }
                self->read(self->client_, self->server_, false);
                self->read(self->server_, self->client_, true);
            });
    }

    void reset()
    {
        for (auto* const it : {&client_, &server_}) {
            boost::system::error_code ec;
            it->socket.set_option(asio::socket_base::linger(true, 0), ec);
            it->socket.close(ec);
        }
    }

    void detach() { proxy_ = nullptr; }

private:
    struct side
    {
        tcp::socket socket;
        std::array<char, 16384> buf{};
    };

    void read(side& from, side& to, bool is_answer)
    {
        from.socket.async_read_some(
            asio::buffer(from.buf),
            [self = shared_from_this(), &from, &to,
             is_answer](boost::system::error_code ec, std::size_t n) {
                if (ec) {
                    self->on_read_end(ec, to);
                    return;
                }
                self->forward(from, to, is_answer, n);
            });
    }

    void on_read_end(boost::system::error_code ec, side& to)
    {
        if (ec == asio::error::eof) {
            to.socket.shutdown(tcp::socket::shutdown_send, ec);
            return;
        }
        reset();
    }

    void forward(side& from, side& to, bool is_answer, std::size_t n)
    {
        auto const fault = proxy_ ? proxy_->fault_ : link_fault::none;
        if (fault == link_fault::drop ||
            (fault == link_fault::drop_answers && is_answer)) {
            read(from, to, is_answer); // without forwarding
            data_lost_ = true;
            return;
        }
        if (data_lost_) {
            reset();
            return;
        }
        auto const wait = fault == link_fault::delay
                              ? proxy_->delay_
                              : std::chrono::milliseconds(0);
        auto const timer = std::make_shared<asio::steady_timer>(io_, wait);
        timer->async_wait(
            [self = shared_from_this(), timer, &from, &to, is_answer, n](auto) {
                asio::async_write(
                    to.socket, asio::buffer(from.buf.data(), n),
                    [self, &from, &to, is_answer](auto ec, std::size_t) {
                        if (ec) {
                            self->reset();
                            return;
                        }
                        self->read(from, to, is_answer);
                    });
            });
    }

    side client_;
    side server_;
    asio::io_context& io_;
    fault_proxy* proxy_;
    bool data_lost_ = false;
};

fault_proxy::fault_proxy(asio::io_context& io, endpoint const& to)
    : io_(io), acceptor_(io, {asio::ip::address_v4::loopback(), 0}), to_(to)
{
    accept();
}

fault_proxy::~fault_proxy()
{
    for (auto const& it : connections_) {
        if (auto const open = it.lock()) {
            open->detach();
            open->reset();
        }
    }
}

void fault_proxy::accept()
{
    // A connection may have been accepted before the proxy ends and be handled
    // afterwards.
    acceptor_.async_accept([this, alive = std::weak_ptr(alive_)](
                               boost::system::error_code ec,
                               tcp::socket socket) {
        if (ec || alive.expired()) {
            return;
        }
        auto const it =
            std::make_shared<connection>(io_, std::move(socket), *this);
        std::erase_if(connections_, [](auto const& l) { return l.expired(); });
        connections_.push_back(it);
        it->start();
        accept();
    });
}

void fault_proxy::set_fault(link_fault fault, std::chrono::milliseconds delay)
{
    fault_ = fault;
    delay_ = delay;
}

void fault_proxy::reset()
{
    for (auto const& it : std::exchange(connections_, {})) {
        if (auto const open = it.lock()) {
            open->reset();
        }
    }
}

} // namespace standin
