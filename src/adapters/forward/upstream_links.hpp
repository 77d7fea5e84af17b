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
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace snipemill {

struct upstream_links_settings
{
    // A connection set-up takes 1 to 6 ms plus a round trip of up to 2 x 3 ms.
    // A lost packet is sent again only after 1 s; by then another replica is
    // the faster choice.
    duration connect_timeout = from_ms(250);
    // Exponential back-off between attempts to connect to an unreachable
    // upstream.
    duration min_reconnect_delay = from_ms(100);
    duration max_reconnect_delay = from_ms(1000);
    // Longest delay for an upstream that closes connections before they carried
    // an answer: it has reached its connection limit.
    duration max_rejected_delay = from_ms(8000);
    // Fraction of an upstream's keep-alive timeout during which an idle
    // connection is reused. Near the end of the timeout the upstream may be
    // closing the connection.
    double idle_timeout_ratio = 0.7;
    duration idle_timeout = from_ms(4000); // when the upstream states none
    // A connection counts as lost when the upstream acknowledges neither data
    // nor TCP keep-alive probes for this long.
    duration silence_limit = from_ms(2000);
    std::size_t max_answer_bytes = 16 * 1024 * 1024;
    // Of all answers that are being received. The smallest hosts have 160 MB,
    // and a string may take three times its size while it grows.
    std::size_t max_total_answer_bytes = 32 * 1024 * 1024;
    std::shared_ptr<receive_budget> memory; // for them; null: one of that size
};

struct link_counters
{
    std::uint64_t connects = 0;
    std::uint64_t connect_failures = 0;
    std::uint64_t exchanges = 0;
    std::uint64_t lost = 0;
    // Answers to earlier requests that arrived late and were skipped.
    std::uint64_t late_answers = 0;
    // Retries that needed another connection than the idle ones.
    std::uint64_t retry_connects = 0;
    // Responses whose status is neither interim nor final.
    std::uint64_t invalid_statuses = 0;
    std::uint64_t malformed_loads = 0; // reports that could not be read
};

// HTTP connections to upstreams. Preconnects to each upstream that may be used,
// because a connection set-up takes as long as a short request.
class upstream_links : public exchange_port
{
public:
    // Called when an upstream becomes reachable or unreachable.
    using reach_callback =
        std::function<void(upstream_view const&, bool reachable)>;

    upstream_links(boost::asio::io_context& io, upstream_fleet& fleet,
                   forward_headers const& names,
                   upstream_links_settings const& settings,
                   std::function<time_point()> now, reach_callback on_reach);
    ~upstream_links() override;
    upstream_links(upstream_links const&) = delete;
    upstream_links& operator=(upstream_links const&) = delete;

    // Preconnects to the upstream, unless a connection is open, being set up
    // or waiting for a reconnect, or the upstream is leaving or evacuated.
    void add(upstream_ptr const& to);
    // Closes the upstream's idle connections. Open exchanges continue; those
    // that wait for a connection end as not sent.
    void remove(upstream_ptr const& to);
    // Ends the exchanges that wait for a connection to an upstream which takes
    // no requests any more as not sent, so that they go to another one.
    void end_waiting_for_leaving();

    exchange_id send(upstream_ptr to,
                     std::shared_ptr<forward_request const> request,
                     time_point deadline,
                     std::function<void(exchange_outcome)> f) override;
    void release(exchange_id id, time_point close_at) override;
    // Sets what is called with the start of a load report that could not be
    // read: at most once in 10 s, since a faulty upstream repeats it in each
    // answer.
    void on_malformed_load(
        std::function<void(upstream_view const&, std::string_view)> f)
    {
        on_malformed_load_ = std::move(f);
    }

    std::size_t open_exchanges() const { return exchanges_.size(); }
    link_counters const& counters() const { return counters_; }
    // Bytes of answers that are being received.
    std::size_t answer_bytes() const { return memory_->used(); }
    // Answers that were ended because all together took too much memory.
    std::uint64_t answers_over_memory() const { return memory_->ended(); }

private:
    using connection_ptr = std::shared_ptr<client_connection>;

    struct exchange
    {
        upstream_ptr to;
        std::shared_ptr<forward_request const> request;
        time_point deadline{};
        std::function<void(exchange_outcome)> f;
        connection_ptr connection; // null until a connection is free
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
        std::vector<idle_connection> idle; // most recently used last
        std::deque<exchange_id> waiting;
        std::vector<connection_ptr> connecting;
        duration reconnect_delay{};
        // An answer has arrived since the last reconnect was scheduled.
        bool answered_since_failure = false;
        // An exchange was lost; a new connection shows whether the upstream
        // still runs.
        bool check_after_loss = false;
        duration idle_timeout{};
        boost::asio::steady_timer timer; // of reconnect()
        bool timer_set = false;
        bool removed = false;
    };
    using link_ptr = std::shared_ptr<upstream_link>;

    link_ptr const& link_of(upstream_ptr const& to);
    void connect(link_ptr const& it);
    void on_connected(link_ptr const& it, connection_ptr const& connection,
                      bool ok, duration elapsed);
    void on_connect_failed(link_ptr const& it);
    void schedule_reconnect(link_ptr const& it);
    void reconnect(link_ptr const& it);
    // An idle connection that has not carried the request, or null.
    connection_ptr take_idle(upstream_link& it, std::string const& id);
    std::optional<exchange_id> take_waiting(upstream_link& it,
                                            client_connection const& for_it);
    void start_exchange(link_ptr const& it, exchange_id id,
                        connection_ptr const& connection);
    void on_result(link_ptr const& it, exchange_id id,
                   connection_ptr const& connection, exchange_result result);
    void reuse_or_reconnect(link_ptr const& it,
                            connection_ptr const& connection,
                            exchange_result const& result);
    void add_idle(link_ptr const& it, connection_ptr const& connection);
    void complete_exchange(exchange_id id, exchange_outcome outcome);
    void fail_waiting(link_ptr const& it);
    void arm_release_timer();
    void on_release_timer();
    void set_reachable(upstream_link& it, bool reachable);
    void erase_if_unused(link_ptr const& it);
    void note_malformed_load(upstream_view const& from,
                             upstream_answer const& answer);

    boost::asio::io_context& io_;
    upstream_fleet& fleet_;
    forward_headers const& names_;
    upstream_links_settings settings_;
    std::function<time_point()> now_;
    reach_callback on_reach_;
    std::function<void(upstream_view const&, std::string_view)>
        on_malformed_load_;
    std::optional<time_point> malformed_load_noted_at_;
    std::unordered_map<upstream_view const*, link_ptr> links_;
    std::unordered_map<exchange_id, exchange> exchanges_;
    std::multimap<time_point, exchange_id> releases_;
    boost::asio::steady_timer release_timer_;
    time_point release_at_ = time_point::max(); // expiry of release_timer_
    exchange_id next_id_ = 1;
    link_counters counters_;
    std::shared_ptr<receive_budget> memory_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace snipemill
