#pragma once

#include "testbed/load.hpp"

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace testbed {

struct background_options
{
    // Asked for every quarter of a second, like a balancer that looks at
    // readiness; empty: pause.
    std::function<std::vector<load_target>()> targets;
    std::string body;
    double rate = 100; // queries per second
};

// Sends queries from a thread of its own until it is stopped.
class background_load
{
public:
    explicit background_load(background_options options);
    ~background_load();
    background_load(background_load const&) = delete;
    background_load& operator=(background_load const&) = delete;

    // Stops after the queries in flight; the samples of all queries.
    std::vector<query_sample> finish();
    // Samples so far.
    std::vector<query_sample> samples() const;

private:
    void run(std::stop_token const& stop);

    background_options options_;
    mutable std::mutex mutex_;
    std::vector<query_sample> samples_;
    std::jthread thread_;
};

// Queries without an answer of status 200.
std::size_t failures(std::vector<query_sample> const& samples);
// Queries without any answer.
std::size_t cut_off(std::vector<query_sample> const& samples);

} // namespace testbed
