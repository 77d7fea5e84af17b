#pragma once

#include "adapters/http/client_connection.hpp"
#include "adapters/net/connect_backoff.hpp"
#include "adapters/upstream/upstream_control.hpp"
#include "adapters/upstream/upstream_job.hpp"
#include "adapters/upstream/upstream_pool.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace snipemill {

// Connections and requests of one upstream. One connection of the maximum is
// kept for cancels and status polls, unless the maximum is 1.
class upstream_entry : public std::enable_shared_from_this<upstream_entry>
{
public:
    upstream_entry(boost::asio::io_context& io,
                   upstream_pool_options const& options,
                   std::shared_ptr<upstream_counters> counters,
                   std::function<void()> on_connections_lost);

    void configure(set_connections const& request);
    void add(upstream_job_ptr const& it);
    void cancel(upstream_job_ptr const& it);
    void status(std::function<void(http_response const&)> f);
    // Has no connection and no request.
    bool unused() const;
    // Closes everything and releases the callbacks without calling them.
    void stop();

private:
    using connection_ptr = std::shared_ptr<client_connection>;

    std::size_t request_connections() const;
    std::size_t wanted() const;
    void pump();
    connection_ptr take_idle();
    void open_connections();
    void open_connection();
    void wait_for_backoff();
    void on_connected(connection_ptr const& it, bool ok);
    void on_idle_closed(client_connection const* it);
    void on_closed_by_server(client_connection const& it);
    void close_surplus();
    void fail_waiting();
    void run(upstream_job_ptr const& it, connection_ptr const& connection);
    std::string write(upstream_job const& it) const;
    void on_result(upstream_job_ptr const& it, connection_ptr const& connection,
                   exchange_result result);
    void give_back(connection_ptr const& connection);
    bool try_again(upstream_job_ptr const& it, exchange_result const& result);
    void watch_deadline(upstream_job const& it);
    void on_deadline_timer();
    void on_deadline(upstream_job_ptr const& it);
    void cancel_sent(upstream_job_ptr const& it);
    void finish(upstream_job_ptr const& it, job_end end);
    void post_finish(upstream_job_ptr const& it, job_end end);
    void drop(connection_ptr const& it);

    boost::asio::io_context& io_;
    upstream_pool_options options_;
    std::shared_ptr<upstream_counters> counters_;
    std::function<void()> on_connections_lost_;
    std::string address_;
    std::optional<boost::asio::ip::tcp::endpoint> endpoint_;
    std::size_t warm_ = 0;
    std::size_t max_ = 0;
    std::deque<upstream_job_ptr> waiting_;
    std::unordered_set<upstream_job_ptr> running_;
    std::vector<connection_ptr> idle_; // the last one was used last
    std::unordered_set<connection_ptr> all_;
    std::unordered_set<connection_ptr> stale_; // to an earlier address
    std::size_t connecting_ = 0;
    std::shared_ptr<upstream_control> control_;
    connect_backoff backoff_;
    boost::asio::steady_timer backoff_timer_;
    bool backoff_waiting_ = false;
    // One timer for the deadlines of all jobs: most jobs end long before
    // theirs, and setting and cancelling one each costs more than a search.
    boost::asio::steady_timer deadline_timer_;
    std::optional<std::chrono::steady_clock::time_point> deadline_at_;
    bool stopped_ = false;
};

} // namespace snipemill
