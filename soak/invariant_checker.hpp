#pragma once

#include "test_fleet.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace soak {

// What a caller asked for.
enum class request_kind : std::uint8_t
{
    fan_out,       // all shards
    idempotent,    // one upstream, may be repeated
    non_idempotent // one upstream, at most once
};

// One attempt of a caller, and how it ended.
struct request_outcome
{
    std::string id;
    request_kind kind = request_kind::fan_out;
    unsigned status = 0; // 0: no answer
    std::string stamps;
    std::string missing;
    std::string body;
    steady_time sent{};
    steady_time ended{};
};

// Checks the promises from what callers and upstreams see. Each broken one is
// kept as a line of text.
class invariant_checker
{
public:
    explicit invariant_checker(test_fleet& fleet) : fleet_(fleet) {}

    void on_outcome(request_outcome const& it);
    // Looks at what upstreams have seen; now and then.
    void check_draining(steady_time now);
    // At the end: refusals that ran later, requests that ran twice, repeats.
    void finish();
    void report_violation(std::string line);

    std::vector<std::string> const& violations() const { return violations_; }
    std::size_t completed() const { return completed_; }
    std::size_t served() const { return served_; }

private:
    void check_fan_out(request_outcome const& it);
    void check_single(request_outcome const& it);
    void check_retry_budget();

    test_fleet& fleet_;
    std::size_t completed_ = 0;
    std::size_t served_ = 0;
    std::set<std::string> not_run_; // with a promise that they did not run
    std::set<std::string> non_idempotent_;
    std::map<std::string, std::vector<steady_time>>
        request_times_; // by service
    std::vector<std::string> violations_;
};

// Statuses that promise that a request did not run and never will.
bool means_not_run(unsigned status);

} // namespace soak
