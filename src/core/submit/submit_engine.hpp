#pragma once

#include "core/base/name_table.hpp"
#include "core/base/rng.hpp"
#include "core/ownership/owner_table.hpp"
#include "core/submit/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipemill {

struct submit_engine_settings
{
    std::size_t max_submits = 1024; // in flight
    std::uint32_t max_attempts = 3; // dispatches that certainly did not run
    duration default_deadline = from_ms(5000);
};

enum class claim_state : std::uint8_t
{
    claimed,
    done,
    not_run,
    unknown
};

inline constexpr name_table<claim_state, 4> claim_state_names{{
    {claim_state::claimed, "claimed"},
    {claim_state::done, "done"},
    {claim_state::not_run, "not_run"},
    {claim_state::unknown, "unknown"},
}};

// The platform object claims/<group>/<key hash>.
struct claim
{
    std::string nonce; // of the attempt that created it
    std::uint64_t body_digest = 0;
    claim_state state = claim_state::claimed;
    submit_answered answer;    // with state done
    std::uint64_t created = 0; // wall clock of the creator, ms

    friend bool operator==(claim const&, claim const&) = default;
};

std::string claim_key(std::string_view group, std::string_view key);

// Creates the claim when there is none, or replaces the given version.
struct put_claim
{
    request_id id;
    std::string key;
    claim value;
    std::uint64_t if_version = 0; // 0: must not exist
};

struct get_claim
{
    request_id id;
    std::string key;
};

struct forward_submit
{
    host_id to;
    submit_forward request;
};

struct answer_submit
{
    std::uint64_t caller = 0;
    std::variant<submit_answered, failure> result;
    bool repeated = false; // the outcome of an earlier request with this key
};

using submit_action =
    std::variant<put_claim, get_claim, forward_submit, answer_submit>;
using submit_actions = std::vector<submit_action>;

enum class claim_write : std::uint8_t
{
    written,
    conflict,  // another version is there
    not_sent,  // certainly not written
    ambiguous, // may have been written
};

struct submit_counters
{
    std::uint64_t submits = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t repeated = 0;
    std::uint64_t claims_resolved = 0; // lost answers settled by reading back
};

// Runs requests that may not be repeated: claims the key in the platform,
// forwards to the owner of one upstream and records the outcome.
class submit_engine
{
public:
    submit_engine(submit_engine_settings const& settings, std::uint32_t lane,
                  std::uint32_t lanes, std::uint64_t seed);
    ~submit_engine();
    submit_engine(submit_engine const&) = delete;
    submit_engine& operator=(submit_engine const&) = delete;

    void on_view(std::shared_ptr<routing_view const> view);
    void on_submit(time_point now, std::uint64_t wall_ms, std::uint64_t caller,
                   caller_submit request, submit_actions& out);
    void on_claim_written(time_point now, request_id id, claim_write result,
                          std::uint64_t version, submit_actions& out);
    // No value with found: there is no claim. Not reachable: found is false
    // and the platform failed.
    void on_claim_read(time_point now, request_id id, bool reachable,
                       std::optional<claim> found, std::uint64_t version,
                       submit_actions& out);
    void on_result(time_point now, submit_result result, submit_actions& out);
    // The stream to the owner failed; sent tells whether a byte may have
    // reached the owner.
    void on_forward_failed(time_point now, request_id id, bool sent,
                           submit_actions& out);
    void on_timer(time_point now, submit_actions& out);

    std::optional<time_point> next_timer() const;
    std::size_t in_flight() const;
    submit_counters const& counters() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace snipemill
