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

// What is done with a request that may end its upstreams.
struct crash_admission
{
    // The answer to a request that is refused because it ended upstreams.
    std::optional<error_answer> refusal;
    bool trial = false; // it is refused, but may be sent to one upstream once
};

struct request_run_settings
{
    // Share of the objective reserved for the transfer of the answer to the
    // caller, with bounds. The caller measures from its first connection
    // attempt; the set-up of the connection and two network traversals of 1 to
    // 3 ms each are not seen by this host.
    double answer_margin = 0.12;
    duration min_answer_margin = from_ms(6);
    duration max_answer_margin = from_ms(16);
    // Share of the fetches of a fan-out query that may be hedged. Pauses delay
    // 1 in 20 upstreams, and 1 in 7 may be slow; when more fetches are late,
    // this host itself is slow, and more attempts would slow it further.
    double max_hedged_share = 0.34;
    // Retry-After of an error when no upstream is usable.
    duration retry_no_upstream = from_ms(500);
    // Retry-After when all upstreams are saturated: a few service times. Longer
    // when the upstreams have asked for more, up to the maximum.
    duration retry_saturated = from_ms(50);
    duration max_retry_saturated = from_ms(10'000);
};

// One request of a caller, from its arrival to the final answer. A request to
// one service has one fetch, whose answer is proxied. A fan-out query has a
// fetch for each shard; load pattern: stragglers in a fan-out. A late answer is
// worth less than one that lacks a few shards, so the run answers shortly
// before the objective with the shard answers that have arrived, if they are
// enough, and reports the number of missing shards.
class request_run
{
public:
    struct options
    {
        fetch_context* shared = nullptr;
        request_run_settings const* settings = nullptr;
        // Manifest in force at the arrival.
        std::shared_ptr<manifest const> state;
        forward_route const* route = nullptr;     // points into the manifest
        std::vector<std::string const*> services; // one for each fetch
        std::shared_ptr<forward_request const> request;
        // Overrides the route's limit of upstreams of one service that may run
        // the request, when other hosts may have used a part of that limit.
        std::optional<std::uint32_t> attempts;
        bool trial = false; // admitted as a trial of crash_guard
        time_point arrival{};
        // Deadline: the earlier of the caller's and the route's.
        time_point end{};
        std::function<void(caller_answer)> on_answer; // called at most once
        std::function<void()> on_timer_changed; // next_timer() became earlier
    };

    // Decides whether a request with these options may start.
    static crash_admission admit(options const& o);

    explicit request_run(options o);
    request_run(request_run const&) = delete;
    request_run& operator=(request_run const&) = delete;

    // May call on_answer before it returns.
    void start();
    // The caller has disconnected, so no answer is sent. Requests that may run
    // at most once run to their end.
    void cancel();
    // Answers as if the deadline had passed.
    void time_out();
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
    void start_fetches();
    void start_first_step(time_point now);
    void finish_if_ready(time_point now);
    void finish_first_step();
    void finish_gather_if_ready(time_point now);
    void append_attempts(std::string& out) const;
    bool enough_answers() const;
    std::size_t services_answered() const;
    std::size_t open_fetches() const;
    bool may_have_run() const;
    void answer_merged();
    void answer_single();
    void answer_failure(fetch_fault fault);
    void finish_with_error(unsigned status, errc code, run_state run,
                           std::string const& detail, duration retry_after);
    void finish(caller_answer answer);
    duration retry_after_saturation() const;

    options options_;
    query_attempts query_; // used by fetches_
    std::vector<std::unique_ptr<service_fetch>> fetches_;
    // A merged answer is given at this time if enough shards have answered.
    time_point partial_answer_at_{};
    std::uint32_t remaining_hedges_ = 0;
    // Number of the only fetch that has been started: the query is a suspect,
    // and the other fetches start when this one is answered.
    std::optional<std::size_t> first_step_;
    bool starting_ = false;
    bool done_ = false;
};

} // namespace snipemill
