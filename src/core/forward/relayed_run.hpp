#pragma once

#include "core/forward/relay_pool.hpp"
#include "core/forward/request_run.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipemill {

// A fan-out query that a relay runs for this host. If the relay does not accept
// the query, another relay gets it, and finally this host runs it directly. If
// a relay is lost that has accepted the query or may have started it, and had
// all attempts of the route, the query fails: its shards may have run at as
// many upstreams as the route allows, and the caller has to retry.
class relayed_run
{
public:
    struct options
    {
        relay_pool* pool = nullptr;
        std::uint64_t fingerprint = 0; // of the route
        request_run::options direct;   // options of the direct run
    };

    explicit relayed_run(options o);
    ~relayed_run();
    relayed_run(relayed_run const&) = delete;
    relayed_run& operator=(relayed_run const&) = delete;

    // May call on_answer before it returns.
    void start();
    // The caller has disconnected; the relay cancels the query.
    void cancel();
    // Answers as if the deadline had passed.
    void time_out();
    std::optional<time_point> next_timer() const;
    void on_timer(time_point now);

    bool done() const { return done_; }
    run_summary summary() const;

private:
    void try_next_relay(time_point now);
    void send(relay_ptr const& to, time_point now);
    void run_directly();
    void try_next_or_fail(time_point now);
    void on_event(relay_event event);
    void on_answer(relay_answer&& answer);
    void on_lost(bool sent, time_point now);
    void on_accept_timeout(time_point now);
    // Upstreams of one shard that may still run the query.
    std::uint32_t attempts_left() const;
    void end_call();
    void finish_with_error(unsigned status, errc code, std::string detail);
    void finish(caller_answer answer);
    // Replaces a refusal that another relay may have made untrue.
    void correct_refusal(caller_answer& answer) const;
    void record_outcome(std::string_view outcome);

    options options_;
    std::vector<relay_ptr> tried_;
    std::shared_ptr<relay_call> call_; // call to the last relay of tried_
    time_point sent_at_{};             // start of the last call
    // Next time-out while the query is not accepted.
    std::optional<time_point> accept_deadline_;
    // The suspect_timeout of the last call has passed.
    bool relay_suspected_ = false;
    bool accepted_ = false;
    bool postponed_ = false; // accept_deadline_ was postponed
    // Attempts of the last call, and of the relays from which no acceptance
    // arrived, but which may have started the query.
    std::uint32_t given_attempts_ = 0;
    std::uint32_t ambiguous_attempts_ = 0;
    std::unique_ptr<request_run> direct_;
    std::optional<run_summary> summary_; // reported by the relay
    std::string relay_outcomes_;         // "relay=outcome" for each call
    bool done_ = false;
};

} // namespace snipemill
