#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace standin {

// Fault of the connections through a proxy.
enum class link_fault : std::uint8_t
{
    none,
    delay,       // delays each piece of data
    drop,        // drops all data; connections stay open
    drop_answers // forwards requests, drops answers
};

// Forwards TCP connections on loopback to one address and injects faults.
class fault_proxy
{
public:
    using endpoint = boost::asio::ip::tcp::endpoint;

    fault_proxy(boost::asio::io_context& io, endpoint const& to);
    ~fault_proxy();
    fault_proxy(fault_proxy const&) = delete;
    fault_proxy& operator=(fault_proxy const&) = delete;

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    // Sets the fault of all connections. A connection of which a fault dropped
    // data has a gap in its stream: the next data to be forwarded resets the
    // connection.
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
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace standin
