#pragma once

#include "common/http_server.hpp"
#include "upstream/counters.hpp"
#include "upstream/settings.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <random>

namespace standin {

using clock_type = std::chrono::steady_clock;

// A request that takes a slot.
struct job
{
    exchange_ptr request;
    std::uint64_t id = 0;
    clock_type::time_point deadline;
    std::function<void()> start;  // called when the job gets its slot
    std::function<void()> finish; // answers
    std::unique_ptr<boost::asio::steady_timer> timer;
    double work_ms = 0;
    bool running = false;
    bool parked = false; // done, but answers are held back
};

using job_ptr = std::shared_ptr<job>;

// Slots, queue, cold start, collapse and service times of one upstream.
class capacity
{
public:
    capacity(boost::asio::io_context& io, upstream_settings& settings,
             upstream_counters& counters);

    void submit(job_ptr const& j);
    // Returns whether the request was there.
    bool cancel(std::uint64_t id);
    void turn_cold();
    void hold(bool on);
    // Forgets every job without an answer.
    void clear();

    bool cold() const { return cold_left_ms_ > 0; }
    bool collapsed() const { return clock_type::now() < collapsed_until_; }
    std::size_t in_flight() const { return running_ + waiting_.size(); }

private:
    bool refuse(job const& j);
    void collapse();
    void wait(job_ptr const& j);
    void run(job_ptr const& j);
    void done(job_ptr const& j);
    void start_waiting();
    std::size_t limit() const;
    double service_time();

    boost::asio::io_context& io_;
    upstream_settings& settings_;
    upstream_counters& counters_;
    std::mt19937_64 random_;
    std::deque<job_ptr> waiting_;
    std::list<job_ptr> active_; // running or parked
    std::size_t running_ = 0;
    double cold_left_ms_ = 0;
    clock_type::time_point collapsed_until_;
    bool hold_ = false;
};

// 503 of an upstream that sheds load.
response shed_response(int retry_after_s);

} // namespace standin
