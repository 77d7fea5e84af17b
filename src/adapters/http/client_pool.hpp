#pragma once

#include "adapters/http/client_connection.hpp"
#include "adapters/http/http_client.hpp"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

namespace snipemill {

// Connections and waiting requests of an http_client.
class client_pool : public std::enable_shared_from_this<client_pool>
{
public:
    client_pool(boost::asio::io_context& io,
                http_client_options const& options);

    void send(http_request&& request, duration timeout,
              std::function<void(http_result)> f);
    // Closes all connections and releases the callbacks of open requests
    // without calling them.
    void stop();

private:
    struct job
    {
        job(boost::asio::io_context& io) : timer(io) {}

        std::string text;
        bool head = false;
        bool done = false;
        std::function<void(http_result)> f;
        boost::asio::steady_timer timer;
        std::shared_ptr<client_connection> connection; // while it is sent
    };
    using job_ptr = std::shared_ptr<job>;
    using connection_ptr = std::shared_ptr<client_connection>;

    void start_timer(job_ptr const& it, duration timeout);
    void pump();
    connection_ptr take_idle();
    void open_connections();
    void on_connected(connection_ptr const& it, bool ok);
    void fail_first();
    void run(job_ptr const& it, connection_ptr const& connection);
    void on_result(job_ptr const& it, connection_ptr const& connection,
                   exchange_result result);
    void finish(job_ptr const& it, http_result result);
    void drop(connection_ptr const& it);
    static void release(job& it);

    boost::asio::io_context& io_;
    http_client_options options_;
    std::string host_;
    std::deque<job_ptr> waiting_;
    std::vector<connection_ptr> idle_; // the last one was used last
    std::unordered_set<connection_ptr> all_;
    std::unordered_set<job_ptr> running_;
    std::size_t connecting_ = 0;
    bool stopped_ = false;
};

} // namespace snipemill
