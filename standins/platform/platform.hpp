#pragma once

#include "common/http_server.hpp"
#include "platform/object_store.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <list>
#include <map>
#include <string>

namespace standin {

struct platform_options
{
    std::uint16_t port = 0;
    double writes_per_s = 0; // 0: no limit; more get 429
    double reads_per_s = 0;
};

// Calls per second that may be made, with a burst of one second.
class rate_limit
{
public:
    explicit rate_limit(double per_second);
    bool take();

private:
    double per_second_;
    double tokens_;
    std::chrono::steady_clock::time_point at_;
};

// Stand-in for the platform's object API, with faults that tests set.
class platform
{
public:
    platform(boost::asio::io_context& io, platform_options const& options);

    std::uint16_t port() const { return server_.port(); }

private:
    struct waiting_watch
    {
        exchange_ptr request;
        std::string prefix;
        std::uint64_t after = 0;
        boost::asio::steady_timer timer;
    };

    void on_request(exchange_ptr const& e);
    void serve(exchange_ptr const& e);
    void on_control(exchange_ptr const& e);
    void set_faults(boost::json::object const& o);
    void set_hosts(std::string hosts);
    bool admitted(exchange_ptr const& e);
    void get(exchange& e);
    void write(exchange& e);
    void answer_write(exchange& e, std::string const& key, store_outcome out);
    void watch(exchange_ptr const& e);
    void wake_watches();
    std::string counters() const;

    boost::asio::io_context& io_;
    object_store store_;
    std::list<waiting_watch> watches_;
    std::map<std::string, std::uint64_t> calls_;
    std::string hosts_ = R"({"hosts":[]})";
    rate_limit writes_;
    rate_limit reads_;
    bool down_ = false;
    bool refuse_ = false;
    std::uint64_t lose_answers_ = 0;
    std::chrono::milliseconds delay_{};
    std::chrono::milliseconds hosts_lag_{};
    http_server server_;
};

} // namespace standin
