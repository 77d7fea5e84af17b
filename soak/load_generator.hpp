#pragma once

#include "adapters/http/http_client.hpp"
#include "fleet/test_fleet.hpp"
#include "invariant_checker.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace soak {

// Sends requests as callers behind a load balancer do: to a host chosen at
// random among the ready ones, over a persistent connection if one is idle.
class load_generator
{
public:
    load_generator(boost::asio::io_context& io, test_fleet& fleet,
                   invariant_checker& checks, std::uint64_t seed);
    load_generator(load_generator const&) = delete;
    load_generator& operator=(load_generator const&) = delete;

    void start();
    void stop();
    // Ends the crashing requests, which are sent again and again before.
    void stop_crashing() { crashing_ = false; }

private:
    void send_next();
    void send_request(host& to, request_kind kind);
    void send_crashing();
    void send(host& to, request_outcome outcome, std::string path);
    void poll_readiness();
    void on_result(host const& to, request_outcome outcome,
                   snipemill::http_result result);
    host* pick_ready_host();

    boost::asio::io_context& io_;
    test_fleet& fleet_;
    invariant_checker& checks_;
    std::mt19937_64 random_;
    boost::asio::steady_timer request_timer_;
    boost::asio::steady_timer readiness_timer_;
    boost::asio::steady_timer crash_timer_;
    std::uint64_t crashing_sends_ = 0;
    bool crashing_ = true;
    std::map<std::string, std::unique_ptr<snipemill::http_client>>
        caller_clients_;
    std::map<std::string, std::unique_ptr<snipemill::http_client>>
        readiness_clients_;
    std::map<std::string, int> failed_polls_; // consecutive, by host
    std::uint64_t next_id_ = 1;
    bool stopped_ = false;
};

} // namespace soak
