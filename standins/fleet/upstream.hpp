#pragma once

#include "adapters/http/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace standin {

using steady_time = std::chrono::steady_clock::time_point;

inline constexpr char const* crash_path = "/crash";

// One execution of a request by an upstream.
struct upstream_run
{
    std::string service;
    std::string instance;
    std::string path;
    std::string stamp; // of the answer; empty if the run failed
    std::string body;
    steady_time at{};
};

// Runs of all upstreams, by request id.
using run_log = std::map<std::string, std::vector<upstream_run>>;

struct upstream_options
{
    std::string instance;
    std::string service;
    unsigned slots = 2;
    std::size_t queue = 12;
    std::chrono::milliseconds work{4};
    std::size_t records = 6; // number in each answer
    // Called with the id of a request that ends the upstream: one whose path
    // contains crash_path.
    std::function<void(std::string const& id)> on_crash;
};

// Stand-in of one upstream: runs as many requests at a time as it has slots,
// queues further ones, refuses requests when the queue is full, and answers
// random records with a stamp.
class upstream
{
public:
    upstream(boost::asio::io_context& io, upstream_options options,
             run_log& log, std::uint64_t seed);
    upstream(upstream const&) = delete;
    upstream& operator=(upstream const&) = delete;

    std::uint16_t port() const { return server_.port(); }
    upstream_options const& options() const { return options_; }
    // Multiplies the time that requests take.
    void set_work_factor(double factor) { work_factor_ = factor; }
    // Makes each request take exactly this time.
    void set_fixed_work(std::chrono::milliseconds work) { fixed_work_ = work; }
    // Ratio of requests that run but are answered with status 500.
    void set_failure_ratio(double ratio) { failure_ratio_ = ratio; }
    steady_time last_arrival() const { return last_arrival_; }

private:
    struct job
    {
        std::string id;
        std::string path;
        snipemill::http_responder respond;
        bool cancelled = false;
    };

    std::function<void()> on_request(snipemill::http_request const& request,
                                     snipemill::http_responder const& respond);
    void start_next();
    void finish(std::shared_ptr<job> const& it);
    double work_time_ms();
    std::string make_records();

    boost::asio::io_context& io_;
    upstream_options options_;
    run_log& log_;
    std::mt19937_64 random_;
    double work_factor_ = 1;
    std::optional<std::chrono::milliseconds> fixed_work_;
    double failure_ratio_ = 0;
    unsigned running_ = 0;
    std::uint64_t next_stamp_ = 1;
    steady_time last_arrival_{};
    std::deque<std::shared_ptr<job>> waiting_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    snipemill::http_server server_;
};

} // namespace standin
