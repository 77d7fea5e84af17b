#pragma once

#include "adapters/http/client_connection.hpp"
#include "adapters/net/connect_backoff.hpp"
#include "adapters/upstream/upstream_pool.hpp"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace snipemill {

// The connection of one upstream that is kept for cancels and status polls,
// so that they never wait for a request to end. Opened on first use.
class upstream_control : public std::enable_shared_from_this<upstream_control>
{
public:
    using callback = std::function<void(http_response const&)>;

    upstream_control(boost::asio::io_context& io,
                     upstream_pool_options const& options,
                     std::shared_ptr<upstream_counters> counters);

    void set_endpoint(std::optional<boost::asio::ip::tcp::endpoint> to);
    void cancel(std::string text);
    // f is not called when there is no answer. A poll is dropped while the
    // previous one is open.
    void status(std::string text, callback f);
    // Releases the callbacks without calling them.
    void close();

private:
    struct task
    {
        std::string text;
        callback f;
    };

    void pump();
    void connect();
    void on_connected(bool ok);
    void run(task it);
    void on_result(callback const& f, exchange_result result);
    void give_up();

    boost::asio::io_context& io_;
    upstream_pool_options options_;
    std::shared_ptr<upstream_counters> counters_;
    std::optional<boost::asio::ip::tcp::endpoint> endpoint_;
    std::shared_ptr<client_connection> connection_;
    boost::asio::steady_timer timer_;
    connect_backoff backoff_;
    std::deque<task> cancels_;
    std::optional<task> status_;
    bool status_open_ = false;
    bool connecting_ = false;
    bool busy_ = false;
};

} // namespace snipemill
