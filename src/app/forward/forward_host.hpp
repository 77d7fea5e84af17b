#pragma once

#include "adapters/forward/forward_headers.hpp"
#include "adapters/forward/host_link.hpp"
#include "adapters/http/http_server.hpp"
#include "adapters/logging/line_queue.hpp"
#include "adapters/settings/forward_settings.hpp"
#include "app/forward/forward_control.hpp"
#include "app/forward/forward_metrics.hpp"
#include "app/forward/forward_traffic.hpp"
#include "app/forward/host_memory.hpp"
#include "app/planned_stop.hpp"
#include "ports/store_port.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace snipemill {

// What a forwarding host needs from the platform that it runs on.
struct forward_platform
{
    // Makes the store's client, which counts what it receives in `memory` and
    // calls on_state when the store becomes reachable or unreachable.
    std::function<std::unique_ptr<store_port>(
        boost::asio::io_context& io, listen_address const& address,
        std::shared_ptr<receive_budget> memory,
        std::function<void(bool reachable)> on_state)>
        make_store;
    forward_headers const* headers = nullptr;
};

// A host that forwards requests to upstreams. One thread mirrors the store, and
// one thread serves callers.
class forward_host
{
public:
    forward_host(forward_settings settings, std::string settings_file,
                 forward_platform const& platform, line_queue& log);
    ~forward_host();
    forward_host(forward_host const&) = delete;
    forward_host& operator=(forward_host const&) = delete;

    // Serves until SIGTERM or SIGINT, then drains. Returns whether every
    // request that was open at the signal has been answered.
    bool run();

private:
    void open_host_link();
    void connect_rollouts();
    void on_rollout_message(rollout_message const& message);
    void on_host_message(host_message const& message);
    void wait_signal();
    void on_signal(int number);
    void reload();
    void watch_settings();
    planned_stop_options stop_options() const;
    planned_stop_steps stop_steps();
    void stop(std::size_t open_requests);
    void flush_log();

    forward_settings settings_;
    std::string settings_file_;
    line_queue& log_;
    host_memory memory_;
    boost::asio::io_context control_io_{1};
    boost::asio::io_context traffic_io_{1};
    forward_metrics metrics_;
    std::unique_ptr<forward_traffic> traffic_;
    std::unique_ptr<store_port> store_;
    std::unique_ptr<forward_control> control_;
    // Used by the traffic thread only; null: the port cannot be used.
    std::unique_ptr<host_link> host_link_;
    std::unique_ptr<http_server> metrics_server_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer settings_timer_;
    boost::asio::steady_timer log_timer_;
    std::int64_t settings_modified_ = 0;
    planned_stop planned_stop_;
    bool clean_ = false; // result of run()
};

} // namespace snipemill
