#pragma once

#include "core/submit/submit_answers.hpp"
#include "core/submit/submit_engine.hpp"
#include "core/submit/submit_runs.hpp"

#include <memory>
#include <string>

namespace snipemill {

// The state machine behind submit_engine.
class submit_engine::impl
{
public:
    impl(submit_engine_settings const& settings, std::uint32_t lane,
         std::uint32_t lanes, std::uint64_t seed);

    void on_view(std::shared_ptr<routing_view const> view);
    void on_submit(time_point now, std::uint64_t wall_ms, std::uint64_t caller,
                   caller_submit request, submit_actions& out);
    void on_claim_written(time_point now, request_id id, claim_write result,
                          std::uint64_t version, submit_actions& out);
    void on_claim_read(time_point now, request_id id, bool reachable,
                       std::optional<claim> found, std::uint64_t version,
                       submit_actions& out);
    void on_result(time_point now, submit_result result, submit_actions& out);
    void on_forward_failed(time_point now, request_id id, bool sent,
                           submit_actions& out);
    void on_timer(time_point now, submit_actions& out);

    submit_runs runs;
    submit_counters counters;

private:
    std::string make_nonce(std::uint64_t wall_ms);

    void put(slot_handle h, std::uint64_t if_version, submit_actions& out);
    void read(slot_handle h, submit_actions& out);
    void pause_read(time_point now, submit_run& run);
    void on_claim_put(time_point now, slot_handle h, claim_write result,
                      std::uint64_t version, submit_actions& out);
    void on_outcome_put(time_point now, slot_handle h, claim_write result,
                        submit_actions& out);
    void on_ambiguous(time_point now, slot_handle h, submit_actions& out);
    void on_ours(time_point now, slot_handle h, std::uint64_t version,
                 submit_actions& out);
    void on_others(time_point now, slot_handle h, claim found,
                   std::uint64_t version, submit_actions& out);
    void on_absent(time_point now, slot_handle h, submit_actions& out);

    void dispatch(time_point now, slot_handle h, errc reason_if_none,
                  submit_actions& out);
    void on_outcome(time_point now, slot_handle h, submit_outcome outcome,
                    submit_actions& out);
    void settle(slot_handle h, submit_outcome outcome, submit_actions& out);
    void record(slot_handle h, submit_actions& out);

    // Answers not_run; the run goes on when the claim may be ours.
    void refuse(time_point now, slot_handle h, errc code, submit_actions& out);
    void on_deadline(time_point now, slot_handle h, submit_actions& out);
    void on_give_up(time_point now, slot_handle h, submit_actions& out);

    submit_engine_settings settings_;
    std::uint32_t lane_;
    rng random_;
    std::uint64_t nonces_ = 0;
    submit_answers answers_;
    std::shared_ptr<routing_view const> view_;
};

} // namespace snipemill
