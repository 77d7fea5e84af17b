#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace snipemill::test {

// Runs the io_context until the condition holds. Returns false when it does
// not hold within the limit, which only a fault reaches.
template <class Condition>
bool run_until(boost::asio::io_context& io, Condition condition,
               std::chrono::seconds limit = std::chrono::seconds(20))
{
    auto const end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        io.restart();
        io.run_one_for(std::chrono::milliseconds(2));
    }
    return true;
}

// A TCP connection on loopback that sends and records plain bytes.
class raw_peer : public std::enable_shared_from_this<raw_peer>
{
public:
    using socket_type = boost::asio::ip::tcp::socket;

    explicit raw_peer(socket_type socket) : socket_(std::move(socket)) {}

    static std::shared_ptr<raw_peer> connect(boost::asio::io_context& io,
                                             std::uint16_t port)
    {
        socket_type socket(io);
        socket.connect({boost::asio::ip::address_v4::loopback(), port});
        auto it = std::make_shared<raw_peer>(std::move(socket));
        it->read();
        return it;
    }

    void read()
    {
        if (!reads_) {
            return;
        }
        socket_.async_read_some(
            boost::asio::buffer(buf_.data(), read_size_),
            [self = shared_from_this()](boost::system::error_code ec,
                                        std::size_t n) {
                if (ec) {
                    self->closed = true;
                    self->error = ec;
                    return;
                }
                self->in.append(self->buf_.data(), n);
                self->read_later();
            });
    }
    // Reads no more; the read that is pending ends it.
    void stop_reading() { reads_ = false; }
    // Reads at most n bytes at a time with a pause after each read.
    void read_slowly(std::size_t n, std::chrono::milliseconds pause)
    {
        read_size_ = std::min(n, buf_.size());
        pause_ = pause;
    }

    void send(std::string text)
    {
        out_.push_back(std::move(text));
        if (out_.size() == 1) {
            write();
        }
    }

    void half_close() { socket_.shutdown(socket_type::shutdown_send); }
    void close() { socket_.close(); }
    void reset()
    {
        socket_.set_option(boost::asio::socket_base::linger(true, 0));
        socket_.close();
    }
    bool has(std::string const& text) const
    {
        return in.find(text) != std::string::npos;
    }
    std::size_t count(std::string const& text) const
    {
        std::size_t n = 0;
        for (auto at = in.find(text); at != std::string::npos;
             at = in.find(text, at + 1)) {
            ++n;
        }
        return n;
    }

    std::string in;
    bool closed = false;
    boost::system::error_code error;

private:
    void read_later()
    {
        if (pause_.count() == 0) {
            read();
            return;
        }
        timer_.expires_after(pause_);
        timer_.async_wait(
            [self = shared_from_this()](boost::system::error_code ec) {
                if (!ec) {
                    self->read();
                }
            });
    }
    void write()
    {
        boost::asio::async_write(
            socket_, boost::asio::buffer(out_.front()),
            [self = shared_from_this()](boost::system::error_code ec,
                                        std::size_t) {
                self->out_.pop_front();
                if (!ec && !self->out_.empty()) {
                    self->write();
                }
            });
    }

    socket_type socket_;
    boost::asio::steady_timer timer_{socket_.get_executor()}; // of the pause
    std::chrono::milliseconds pause_{};
    bool reads_ = true;
    std::array<char, 16384> buf_{};
    std::size_t read_size_ = buf_.size();
    std::deque<std::string> out_;
};

// Accepts connections on a free port of loopback and keeps them.
class raw_server
{
public:
    explicit raw_server(boost::asio::io_context& io)
        : acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    void close() { acceptor_.close(); }

    std::vector<std::shared_ptr<raw_peer>> peers;

private:
    void accept()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code ec, raw_peer::socket_type socket) {
                if (ec) {
                    return;
                }
                peers.push_back(std::make_shared<raw_peer>(std::move(socket)));
                peers.back()->read();
                accept();
            });
    }

    boost::asio::ip::tcp::acceptor acceptor_;
};

} // namespace snipemill::test
