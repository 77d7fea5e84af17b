#pragma once

#include "core/base/time.hpp"
#include "core/placement/cost_estimate.hpp"
#include "core/placement/reported_load.hpp"

#include <cstdint>
#include <optional>

namespace snipemill {

// Work of a request that is to be placed, and of those at its service.
struct request_cost
{
    work_estimate own;
    double mean_there = 0; // ms; 0: not known

    // Latency that penalties are measured in; 0 when it is not known.
    double usual_ms() const;
};

// What is known of one upstream besides its reports when a request is placed.
struct placement_conditions
{
    std::uint32_t open = 0;    // requests of this host there
    std::uint32_t slots = 1;   // by its entry in the store
    double usual_per_slot = 0; // see usual_load
    duration network{};        // see network_latency
    time_point now{};
};

// When a request sent now is expected to end, in ms from now.
struct finish_prediction
{
    double wait = 0; // for a slot
    double mean = 0; // 0: not known
    double tail = 0; // later than this is a sign of a fault
    double work = 0; // of the request, on an upstream of usual speed
    double network = 0;
    double doubt = 0; // standard deviation of the wait, from old reports
};

// Predicts when a request would finish at one upstream, from the load and speed
// that the upstream reports and from the latencies of its answers. A report is
// a measurement at one point in time: trust in it decays with its age.
class expected_finish
{
public:
    // An answer brought a report. `open`: requests of this host that were open
    // there, without the answered one.
    void on_report(reported_load const& report, std::uint32_t open,
                   time_point now);
    // A predicted request was answered, or given up, after `elapsed`.
    void on_ended(finish_prediction const& predicted, duration elapsed,
                  bool answered, time_point now);
    // Whether the upstream has reported its speed since it started. When it
    // stops, trust in its last report decays like that in any other.
    bool reports_speed() const { return reports_speed_; }
    finish_prediction predict(request_cost const& cost,
                              placement_conditions const& at) const;
    // Work in ms of a predicted request whose answer brought the last report;
    // none when the request may have waited for a slot.
    std::optional<double> work_of(finish_prediction const& predicted,
                                  duration elapsed) const;

    // Time that work takes there over the usual time, as the upstream reports.
    double speed(time_point now) const;
    // The part of it that the upstream does not report: its constant speed.
    double constant(time_point now) const;
    // Requests of other hosts.
    double others(double mean_work_ms, double slots, double usual,
                  time_point now) const;
    // The same in the last report.
    double reported_others() const { return others_; }
    // Latency over the predicted tail, at least 1: for what reports leave out.
    double error(time_point now) const;

private:
    duration age(time_point now) const { return now - reported_at_; }
    // Trust in the number of requests in the last report, 0 to 1.
    double load_trust(double mean_work_ms, double slots, time_point now) const;

    bool reports_speed_ = false;
    time_point reported_at_{};
    bool waited_ = false; // the last report has waiting requests
    double others_ = 0;   // in the last report
    double speed_ = 1;    // in the last report
    double mean_speed_ = 1;
    // Sums over answers that did not wait, in usual work; older ones fade.
    double observed_ = 0;
    double expected_ = 0;
    time_point measured_at_{};
    double error_ = 0;
    time_point error_at_{};
};

} // namespace snipemill
