#pragma once

#include "fleet/test_fleet.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace soak {

// Kinds of requests, by the type of their route.
enum class request_kind : std::uint8_t
{
    fan_out,       // every shard, answers merged
    idempotent,    // one upstream, may be retried
    non_idempotent // one upstream, at most once
};

// A request of a caller and its result.
struct request_outcome
{
    std::string id;
    request_kind kind = request_kind::fan_out;
    bool crashing = false; // ends every upstream that runs it
    unsigned status = 0;   // 0 without an answer
    std::string stamps;    // one for each shard answer, or that of the upstream
    std::string missing;   // number of missing shards
    std::string body;
    steady_time sent{};
    steady_time ended{};
};

// Checks invariants of the program on what callers and upstreams see. Each
// violation is kept as a line of text.
class invariant_checker
{
public:
    explicit invariant_checker(test_fleet& fleet) : fleet_(fleet) {}

    void on_outcome(request_outcome const& it);
    // A crashing request is sent to the host. It stands for the same request
    // as others with its path.
    void on_crashing_request(std::string const& id, std::string const& path,
                             host const& to);
    // The request has ended an upstream.
    void on_crash(std::string const& id);
    // Reports draining upstreams that still get requests. Called periodically.
    void check_draining(steady_time now);
    // Checks the whole run: requests that were refused as not run but ran,
    // non-idempotent requests that ran twice, and the retry budget.
    void finish();
    void report_violation(std::string line);

    std::vector<std::string> const& violations() const { return violations_; }
    std::size_t completed() const { return completed_; }
    std::size_t served() const { return served_; }

private:
    // A request that ends upstreams, however often it is sent.
    struct crashing_request
    {
        std::size_t crashes = 0;
        steady_time third_crash{};
        std::set<std::string> late; // ids that ended an upstream later
    };
    struct crashing_attempt
    {
        std::string path;
        host const* to = nullptr;
    };

    void check_fan_out(request_outcome const& it);
    void check_single(request_outcome const& it);
    void check_retry_budget();
    bool settled(host const& it, steady_time now) const;

    test_fleet& fleet_;
    std::size_t completed_ = 0;
    std::size_t served_ = 0;
    std::set<std::string> not_run_; // ids answered as not run
    std::set<std::string> non_idempotent_;
    std::map<std::string, crashing_request> crashing_;          // by path
    std::map<std::string, crashing_attempt> crashing_attempts_; // by id
    std::map<std::string, std::vector<steady_time>>
        request_times_; // by service
    std::vector<std::string> violations_;
};

// Whether an answer with this status says that the request has not run and will
// not run later.
bool means_not_run(unsigned status);

} // namespace soak
