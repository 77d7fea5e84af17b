#pragma once

#include "adapters/forward/forward_headers.hpp"
#include "adapters/forward/upstream_links.hpp"
#include "adapters/http/http_server.hpp"
#include "adapters/settings/forward_settings.hpp"
#include "app/forward/forward_metrics.hpp"
#include "app/forward/forward_snapshot.hpp"
#include "core/forward/request_run.hpp"
#include "core/forward/weighted_rotation.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipemill {

// Serves callers on one thread: finds the route of each request and runs it.
class forward_traffic
{
public:
    forward_traffic(boost::asio::io_context& io,
                    forward_settings const& settings,
                    forward_headers const& names, forward_metrics& metrics);
    forward_traffic(forward_traffic const&) = delete;
    forward_traffic& operator=(forward_traffic const&) = delete;

    void adopt(std::shared_ptr<forward_snapshot const> snapshot);
    void set_repeats(repeat_budget_settings const& settings);
    // Readiness falls and callers are told to use other connections.
    void start_leaving();
    // Accepts no more connections and closes idle ones.
    void drain();
    // Whether no connection is open: a caller may be sending on an idle one.
    bool idle() const;
    // Copies counts to the metrics.
    void report() const;

private:
    struct open_run
    {
        std::unique_ptr<request_run> run;
        http_responder respond;
        std::string id;
        time_point arrival{};
        std::optional<time_point> wake;
    };

    std::function<void()> on_request(http_request request,
                                     http_responder respond);
    http_response on_readiness();
    std::function<void()> start_run(http_request&& request,
                                    http_responder&& respond,
                                    forward_route const& route,
                                    time_point arrival, time_point end);
    std::vector<std::string const*> services_of(forward_route const& route);
    void on_answer(std::uint64_t number, caller_answer answer);
    void refuse(http_request const& request, http_responder const& respond,
                unsigned status, errc code, duration retry_after);
    void cancel(std::uint64_t number);
    void schedule(std::uint64_t number);
    void unschedule(std::uint64_t number, open_run& it);
    void arm_timer();
    void on_timer();
    void set_hosts(std::size_t n);
    void warm();
    void erase_later(std::uint64_t number);
    void log_request(open_run const& it, unsigned status,
                     std::string_view reason) const;

    boost::asio::io_context& io_;
    forward_settings const& settings_;
    forward_headers const& names_;
    forward_metrics& metrics_;
    std::shared_ptr<forward_snapshot const> snapshot_;
    upstream_fleet fleet_;
    upstream_links links_;
    fetch_shared shared_;
    request_run_settings run_settings_;
    weighted_rotation rotation_;
    std::unordered_map<std::uint64_t, open_run> runs_;
    std::set<std::pair<time_point, std::uint64_t>> wakes_;
    boost::asio::steady_timer timer_;
    time_point timer_at_ = time_point::max();
    std::uint64_t next_number_ = 1;
    boost::asio::steady_timer warm_timer_;
    bool warming_ = false; // connections are opened ahead of need
    bool leaving_ = false;
    bool cut_off_ = false;
    http_server callers_;
    http_server readiness_;
};

} // namespace snipemill
