#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace standin {

// What a proxy does to the bytes that pass it.
enum class link_fault : std::uint8_t
{
    none,
    delay,       // each piece is held up
    drop,        // nothing passes; connections stay open
    drop_answers // requests pass, answers do not
};

// Forwards TCP connections on loopback to one address, with faults.
class fault_proxy
{
public:
    using endpoint = boost::asio::ip::tcp::endpoint;

    fault_proxy(boost::asio::io_context& io, endpoint const& to);
    ~fault_proxy();
    fault_proxy(fault_proxy const&) = delete;
    fault_proxy& operator=(fault_proxy const&) = delete;

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    // Bytes that a silent proxy held are lost: its connections are useless
    // afterwards, as on a network that dropped them.
    void
    set_fault(link_fault fault,
              std::chrono::milliseconds delay = std::chrono::milliseconds(60));
    // Resets every open connection.
    void reset();

private:
    class connection;

    void accept();

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    endpoint to_;
    link_fault fault_ = link_fault::none;
    std::chrono::milliseconds delay_{};
    std::vector<std::weak_ptr<connection>> connections_;
};

} // namespace standin
