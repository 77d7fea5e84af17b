#pragma once

#include "testbed/request_loop.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace testbed {

// One answered or failed query, as its caller saw it.
struct query_sample
{
    double latency_ms = 0;
    unsigned status = 0; // HTTP status, 0: no answer
    std::string code;    // error code of a refusal
    std::string run;     // run state of a refusal
    std::optional<double> coverage;
    std::uint64_t snapshot = 0;
    std::uint32_t hedges = 0;
    std::uint32_t sub_requests = 0;
    std::uint64_t total = 0;
    std::size_t records = 0;
    bool mixed = false;     // records of more than one snapshot
    bool duplicate = false; // a key appears twice
    bool deadline_cut = false;
};

struct load_options
{
    std::vector<load_target> targets; // used in turn
    std::string body;                 // of POST /v1/query
    // Body of the query with this number; replaces body when it is set.
    std::function<std::string(std::uint32_t)> body_of = {};
    double rate = 100;          // queries per second, open loop
    std::uint32_t count = 1000; // queries to send
    snipemill::duration timeout = snipemill::from_ms(10'000);
    // Called before each query with its number and the elapsed time.
    std::function<void(std::uint32_t, std::chrono::milliseconds)> before = {};
};

// Sends queries at a fixed rate, whether or not earlier ones were answered,
// and returns one sample for each. Blocks until all have ended.
std::vector<query_sample> run_load(load_options const& options);

// Value below which this fraction of the values lies; the values are sorted.
double quantile(std::vector<double> values, double fraction);

std::vector<double> latencies(std::vector<query_sample> const& samples);

} // namespace testbed
