#pragma once

#include "core/forward/caller_answer.hpp"
#include "core/forward/manifest.hpp"
#include "core/forward/service_fetch.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipemill {

struct request_run_settings
{
    // Part of the objective that is left for the way of the answer to the
    // caller, with bounds: the caller counts from its first attempt, and a
    // connection set-up and two ways of 1 to 3 ms each are outside this host.
    double answer_margin = 0.12;
    duration min_answer_margin = from_ms(6);
    duration max_answer_margin = from_ms(16);
    // Part of a query's parts that may be hedged. Pauses hold up 1 in 20
    // upstreams and a site's slow ones 1 in 7; when more parts are late, this
    // host itself is, and more sends would make it later.
    double max_hedged_share = 0.34;
    // Time to wait that is told to a caller whose request found no upstream.
    duration retry_no_upstream = from_ms(500);
    // The same when upstreams are full: a few service times.
    duration retry_saturated = from_ms(50);
};

// One request of a caller, from its arrival to the final answer. A request to
// one service is a run with one part, whose answer is relayed. A gather has a
// part for each shard; load pattern: stragglers in a fan-out. A late answer is
// worth less than one that lacks a few parts, so the run answers at the
// objective with the parts that are in, when they are enough, and says how
// many are missing.
class request_run
{
public:
    struct options
    {
        fetch_context* shared = nullptr;
        request_run_settings const* settings = nullptr;
        std::shared_ptr<manifest const> state;    // in force at the arrival
        forward_route const* route = nullptr;     // of the manifest
        std::vector<std::string const*> services; // one for each part
        std::shared_ptr<forward_request const> request;
        // Upstreams of one service that may run the request, when other hosts
        // may have used up a part of what the route allows.
        std::optional<std::uint32_t> attempts;
        time_point arrival{};
        time_point end{}; // the caller waits, and the route allows, until then
        std::function<void(caller_answer)> on_answer; // called once
        std::function<void()> on_timer_changed;       // wake() became earlier
    };

    explicit request_run(options o);
    request_run(request_run const&) = delete;
    request_run& operator=(request_run const&) = delete;

    // May answer inside the call.
    void start();
    // The caller has left; nobody waits for an answer. Requests that may run
    // only once are left to end.
    void cancel();
    std::optional<time_point> next_timer() const;
    void on_timer(time_point now);

    bool done() const { return done_; }
    run_summary summary() const;

private:
    gather_target const* gather() const
    {
        return std::get_if<gather_target>(&options_.route->target);
    }
    bool enough_available(time_point now) const;
    fetch_fault refusal_fault() const;
    void finish_if_ready(time_point now);
    void finish_gather_if_ready(time_point now);
    void append_attempts(std::string& out) const;
    bool enough_answers() const;
    std::size_t services_answered() const;
    std::size_t open_fetches() const;
    bool may_have_run() const;
    void answer_merged();
    void answer_single();
    void answer_time_out();
    void answer_failure(fetch_fault fault);
    void finish_with_error(unsigned status, errc code, run_state run,
                           std::string const& detail, duration retry_after);
    void finish(caller_answer answer);

    options options_;
    std::vector<std::unique_ptr<service_fetch>> fetches_;
    time_point partial_answer_at_{}; // answer then with the parts that are in
    std::uint32_t remaining_hedges_ = 0;
    bool starting_ = false;
    bool done_ = false;
};

} // namespace snipemill
