#pragma once

#include "core/forward/relay_pool.hpp"
#include "core/forward/request_run.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipemill {

// One query over many shards that a relay runs for this host. When the relay
// does not accept it, another one gets it, and at last this host runs it by
// itself. A query whose relay is lost after it had accepted it fails: its
// parts may have run at as many upstreams as the route allows, and the caller
// sends it again.
class relayed_run
{
public:
    struct options
    {
        relay_pool* pool = nullptr;
        std::uint64_t fingerprint = 0; // of the route
        request_run::options direct;   // of the run by this host itself
    };

    explicit relayed_run(options o);
    ~relayed_run();
    relayed_run(relayed_run const&) = delete;
    relayed_run& operator=(relayed_run const&) = delete;

    // May answer inside the call.
    void start();
    // The caller has left; the relay stops its work.
    void cancel();
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
    void record_outcome(std::string_view outcome);

    options options_;
    std::vector<relay_ptr> tried_;
    std::shared_ptr<relay_call> call_; // at the last of tried_
    time_point sent_at_{};             // of the last try
    std::optional<time_point>
        accept_deadline_;          // the next step without agreement
    bool relay_suspected_ = false; // the relay of the last try
    bool accepted_ = false;
    bool postponed_ = false; // the end of the time to accept, once
    std::uint32_t ambiguous_relays_ =
        0; // relays that may have begun all the same
    std::unique_ptr<request_run> direct_;
    std::optional<run_summary> summary_; // of the relay
    std::string relay_outcomes_;         // "relay=outcome" for each try
    bool done_ = false;
};

} // namespace snipemill
