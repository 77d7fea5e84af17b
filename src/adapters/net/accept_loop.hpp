#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace snipemill {

// A listening socket that passes on each connection that it accepts.
class accept_loop : public std::enable_shared_from_this<accept_loop>
{
public:
    using handler = std::function<void(boost::asio::ip::tcp::socket)>;

    // Listens; throws boost::system::system_error. Port 0 takes any free port.
    accept_loop(boost::asio::io_context& io, std::string const& ip,
                std::uint16_t port, bool reuse_port);

    void start(handler f);
    // Passes on the connections that the kernel has already accepted, then
    // closes the listening socket, which would have reset them.
    void drain();
    // Closes the listening socket and passes on no further connection.
    void stop();

    std::uint16_t port() const { return port_; }

private:
    void accept();
    void accept_later();
    void accept_pending();
    void close();

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_;
    handler handler_;
    std::uint16_t port_ = 0;
    bool stopped_ = false;
};

} // namespace snipemill
