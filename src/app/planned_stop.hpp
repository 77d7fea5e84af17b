#pragma once

#include "core/base/drain_admission.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>

namespace snipemill {

struct planned_stop_options
{
    // Time for which connections are accepted, so that load balancers notice
    // that the host is not ready.
    duration accept_for{};
    // Time from the signal to the end of the process.
    duration stop_within{};
};

// What a host still has open during a planned stop.
struct open_work
{
    std::size_t requests = 0; // read and not answered
    bool idle = false;        // neither requests nor connections to wait for
};

// Steps of a planned stop, carried out by the host.
struct planned_stop_steps
{
    // Fails readiness checks and asks callers to close their connections.
    std::function<void(drain_times const&)> begin;
    std::function<void()> stop_accepting;
    // Answers the requests that are still open as failed.
    std::function<void()> end_requests;
    std::function<void(std::function<void(open_work)>)> report;
    // Ends the process. The argument tells how many requests are cut off.
    std::function<void(std::size_t open_requests)> stop;
};

// The order and the times of a planned stop, the same for all kinds of hosts.
class planned_stop
{
public:
    planned_stop(boost::asio::io_context& io, planned_stop_options options,
                 planned_stop_steps steps);

    void start();
    bool started() const { return started_; }

private:
    void wait(duration d, std::function<void()> f);
    void poll();
    void on_report(open_work const& work);

    planned_stop_options options_;
    planned_stop_steps steps_;
    boost::asio::steady_timer timer_;
    drain_times times_;
    time_point end_{};
    bool started_ = false;
    bool requests_ended_ = false;
};

} // namespace snipemill
