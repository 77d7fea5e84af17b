#pragma once

#include "core/base/rng.hpp"
#include "core/forward/request_run.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace snipemill::test {

// A load on the upstreams of some services, in virtual time.
struct load_scenario
{
    std::string name;
    std::uint32_t hosts = 12;
    std::uint32_t services = 1; // more than one: each request goes to all
    std::uint32_t replicas = 6; // of a service, in three data centres
    std::uint32_t slots = 2;
    double utilisation = 0.6; // of all slots, without slow-downs
    double work_ms = 20;      // mean
    double spread = 0.3;      // of the work of one account, relative
    double heavy_share = 0;   // of requests of an account with heavy work
    double heavy_factor = 8;
    bool uneven = false;   // constant speeds of 0.8, 1.0 and 1.3
    double slow_share = 0; // of time in which a replica takes 2.5 times as long
    duration slow_for = from_ms(400);
    duration pause{}; // of each replica, every pause_period
    duration pause_period = from_ms(4500);
    bool in_bursts = false; // all hosts send at the same times
    duration objective = from_ms(100);
    double min_share = 0.95;
    duration length = from_ms(40'000);
    std::uint64_t seed = 1;
    // Whether reports have the fourth field; without it the old score decides.
    bool reports_speed = true;
};

struct load_result
{
    double p50 = 0; // ms
    double p99 = 0;
    double in_time = 0;  // share of requests answered within the objective
    double complete = 0; // share of answers with all shards
    double remote = 0;   // share of sends to other data centres
    double hedges = 0;   // per send
    double busy = 0;     // share of slot time used
};

// Runs the load after a warm-up of a quarter of its length that is not counted.
load_result simulate(load_scenario const& scenario);

} // namespace snipemill::test
