#pragma once

#include "adapters/http/http_client.hpp"
#include "checks.hpp"
#include "world.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace soak {

// Callers behind a balancer: each request goes to a host that counts as ready,
// on a kept connection while there is one.
class callers
{
public:
    callers(boost::asio::io_context& io, world& w, checker& checks,
            std::uint64_t seed);
    callers(callers const&) = delete;
    callers& operator=(callers const&) = delete;

    void start();
    void stop();

private:
    void ask_again();
    void ask_host(host& to, ask kind);
    void poll_readiness();
    void on_result(host const& to, attempt_end end,
                   snipemill::http_result result);
    host* pick();

    boost::asio::io_context& io_;
    world& world_;
    checker& checks_;
    std::mt19937_64 random_;
    boost::asio::steady_timer ask_timer_;
    boost::asio::steady_timer poll_timer_;
    std::map<std::string, std::unique_ptr<snipemill::http_client>> traffic_;
    std::map<std::string, std::unique_ptr<snipemill::http_client>> readiness_;
    std::map<std::string, int> misses_; // readiness polls in a row
    std::uint64_t next_id_ = 1;
    bool stopped_ = false;
};

} // namespace soak
