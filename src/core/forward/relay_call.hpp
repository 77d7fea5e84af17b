#pragma once

#include "core/base/name_table.hpp"
#include "core/base/time.hpp"
#include "core/forward/caller_answer.hpp"
#include "core/forward/exchange.hpp"
#include "core/forward/relay_plan.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace snipemill {

// A fan-out query that a host sends to a relay.
struct relay_query
{
    std::string route;             // by name
    std::uint64_t fingerprint = 0; // of the route's content
    duration elapsed{};            // since the query arrived at the host
    duration left{};               // until the caller's deadline
    std::uint32_t attempts = 1; // upstreams of one shard that may run the query
    std::shared_ptr<forward_request const> request;
};

// The relay has started the query.
struct relay_accepted
{};

// The final answer: merged or an error, never the answer of a single upstream.
struct relay_answer
{
    std::variant<merged_answer, error_answer> answer;
    run_summary summary;
};

enum class relay_refusal : std::uint8_t
{
    other_route, // the relay has no route with this name and content
    leaving,     // the relay is draining or has no manifest yet
    busy,        // the relay runs as many queries as it may
    cut_off      // the relay is cut off; see is_cut_off()
};

inline constexpr name_table<relay_refusal, 4> relay_refusal_names{{
    {relay_refusal::other_route, "other_route"},
    {relay_refusal::leaving, "leaving"},
    {relay_refusal::busy, "busy"},
    {relay_refusal::cut_off, "cut_off"},
}};

// The relay has not started the query and will not.
struct relay_refused
{
    relay_refusal reason = relay_refusal::busy;
};

// The call ended without an answer.
struct relay_lost
{
    bool sent = true; // the relay may have started the query
};

using relay_event =
    std::variant<relay_accepted, relay_answer, relay_refused, relay_lost>;

// An open call. Destroying it does not cancel the call.
class relay_call
{
public:
    virtual ~relay_call() = default;
    // No event follows; the relay cancels the query.
    virtual void cancel() = 0;
};

// Calls to relays. Events come on the thread of the adapter's io_context,
// never inside run() or probe().
class relay_port
{
public:
    virtual ~relay_port() = default;

    // f gets relay_accepted at most once, and one final event.
    virtual std::shared_ptr<relay_call>
    run(fleet_host const& to, relay_query const& query,
        std::function<void(relay_event)> f) = 0;
    // f gets relay_accepted, relay_refused or relay_lost once.
    virtual std::shared_ptr<relay_call>
    probe(fleet_host const& to, std::function<void(relay_event)> f) = 0;
};

} // namespace snipemill
