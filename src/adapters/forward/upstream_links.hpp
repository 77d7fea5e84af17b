#pragma once

#include "adapters/forward/forward_headers.hpp"
#include "adapters/http/client_connection.hpp"
#include "core/forward/exchange.hpp"
#include "core/forward/upstream_fleet.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipemill {

struct upstream_links_settings
{
    // A set-up takes 1 to 6 ms and two ways of up to 3 ms; a lost packet is
    // only sent again after a second, when another replica is the better way.
    duration connect_timeout = from_ms(250);
    // An upstream that cannot be connected is tried again after these times.
    duration min_reconnect_delay = from_ms(100);
    duration max_reconnect_delay = from_ms(1000);
    // One that closes connections before they were used is full. It is offered
    // the next one ahead of need after this time at most.
    duration max_rejected_delay = from_ms(8000);
    // Part of an upstream's stated idle time for which a kept connection is
    // used; near its end the upstream may be closing it.
    double idle_timeout_ratio = 0.7;
    duration idle_timeout = from_ms(4000);  // when the upstream states none
    duration silence_limit = from_ms(2000); // no acknowledgement: broken
    std::size_t max_answer_bytes = 16 * 1024 * 1024; // bytes
};

struct link_counters
{
    std::uint64_t connects = 0;
    std::uint64_t connect_failures = 0;
    std::uint64_t exchanges = 0;
    std::uint64_t lost = 0;
};

// Connections to upstreams. Keeps one open to each upstream that may be used,
// ahead of need, because a set-up takes as long as a short request.
class upstream_links : public exchange_port
{
public:
    // Tells that an upstream became reachable or unreachable.
    using reach_callback =
        std::function<void(upstream_view const&, bool reachable)>;

    upstream_links(boost::asio::io_context& io, upstream_fleet& fleet,
                   forward_headers const& names,
                   upstream_links_settings const& settings,
                   std::function<time_point()> now, reach_callback on_reach);
    ~upstream_links() override;
    upstream_links(upstream_links const&) = delete;
    upstream_links& operator=(upstream_links const&) = delete;

    // Opens a connection ahead of need, unless there is one.
    void add(upstream_ptr const& it);
    // Closes idle connections; exchanges that are open end as usual.
    void remove(upstream_ptr const& it);

    exchange_id send(upstream_ptr to,
                     std::shared_ptr<forward_request const> request,
                     time_point deadline,
                     std::function<void(exchange_outcome)> f) override;
    void release(exchange_id id, time_point close_at) override;

    std::size_t open_exchanges() const { return exchanges_.size(); }
    link_counters const& counters() const { return counters_; }

private:
    using connection_ptr = std::shared_ptr<client_connection>;

    struct exchange
    {
        upstream_ptr to;
        std::shared_ptr<forward_request const> request;
        time_point deadline{};
        std::function<void(exchange_outcome)> f;
        connection_ptr connection; // while it is sent
        bool aborted = false;
    };
    struct idle_connection
    {
        connection_ptr connection;
        time_point since{};
    };
    struct upstream_link
    {
        explicit upstream_link(boost::asio::io_context& io) : timer(io) {}

        upstream_ptr to;
        std::vector<idle_connection> idle; // the last one was used last
        std::deque<exchange_id> waiting;
        std::vector<connection_ptr> connecting; // being set up
        duration reconnect_delay{};
        bool answered_since_failure =
            false; // a connection has carried an answer since a failure
        duration idle_timeout{};
        boost::asio::steady_timer timer; // of the next reconnect
        bool timer_set = false;
        bool removed = false;
    };
    using link_ptr = std::shared_ptr<upstream_link>;

    link_ptr const& link_of(upstream_ptr const& to);
    void connect(link_ptr const& it);
    void on_connected(link_ptr const& it, connection_ptr const& connection,
                      bool ok);
    void on_connect_failed(link_ptr const& it);
    void schedule_reconnect(link_ptr const& it);
    void reconnect(link_ptr const& it);
    connection_ptr take_idle(upstream_link& it);
    void start_exchange(link_ptr const& it, exchange_id id,
                        connection_ptr const& connection);
    void on_result(link_ptr const& it, exchange_id id,
                   connection_ptr const& connection, exchange_result result);
    void reuse_or_reconnect(link_ptr const& it,
                            connection_ptr const& connection,
                            exchange_result const& result);
    void add_idle(link_ptr const& it, connection_ptr const& connection);
    void complete_exchange(exchange_id id, exchange_outcome outcome);
    void fail_waiting(upstream_link& it);
    void arm_release_timer();
    void on_release_timer();
    void set_reachable(upstream_link& it, bool reachable);
    void erase_if_unused(link_ptr const& it);

    boost::asio::io_context& io_;
    upstream_fleet& fleet_;
    forward_headers const& names_;
    upstream_links_settings settings_;
    std::function<time_point()> now_;
    reach_callback on_reach_;
    std::unordered_map<upstream_view const*, link_ptr> links_;
    std::unordered_map<exchange_id, exchange> exchanges_;
    std::multimap<time_point, exchange_id> releases_;
    boost::asio::steady_timer release_timer_;
    time_point release_at_ = time_point::max(); // of the armed timer
    exchange_id next_id_ = 1;
    link_counters counters_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace snipemill
