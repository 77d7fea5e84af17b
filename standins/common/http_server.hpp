#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace standin {

class session;

struct response
{
    unsigned status = 200;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    bool close = false; // close the connection after this answer
};

// One request that waits for its answer. Exactly one of reply and drop has an
// effect.
class exchange
{
public:
    std::string method;
    std::vector<std::string> path; // decoded segments
    std::map<std::string, std::string> params;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    // Value of a header or parameter, empty when it is absent.
    std::string const& header(std::string const& name) const;
    std::string const& param(std::string const& name) const;

    void reply(response r);
    // Closes the connection without an answer.
    void drop();

private:
    friend class session;
    std::weak_ptr<session> session_;
};

using exchange_ptr = std::shared_ptr<exchange>;

struct server_options
{
    std::uint16_t port = 0;
    std::size_t max_body = 1024 * 1024;      // bytes
    std::size_t max_connections = SIZE_MAX;  // more are closed and counted
    std::chrono::microseconds setup_delay{}; // before the first request is read
};

struct connection_counters
{
    std::size_t open = 0;
    std::size_t max_open = 0;
    std::uint64_t violations = 0; // connections over the cap
};

// HTTP/1.1 server on loopback with one io_context and one thread. A connection
// whose first request is for /control is not counted as a connection.
class http_server
{
public:
    http_server(boost::asio::io_context& io, server_options const& options,
                std::function<void(exchange_ptr)> handler);

    std::uint16_t port() const { return options_.port; }
    connection_counters& connections() { return counters_; }
    void set_max_connections(std::size_t n) { options_.max_connections = n; }

    // Closes the listener and every connection but those for /control.
    void close();
    // Listens again on the same port, unless it does already.
    void open();
    // Closes every connection but those for /control.
    void drop_connections();

private:
    friend class session;
    void reserve();
    void accept();

    boost::asio::io_context& io_;
    server_options options_;
    std::function<void(exchange_ptr)> handler_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::acceptor reserved_; // holds the port
    std::set<std::shared_ptr<session>> sessions_;
    connection_counters counters_;
};

} // namespace standin
