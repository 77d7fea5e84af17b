#pragma once

#include "core/base/error.hpp"
#include "core/base/strong_id.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace snipemill {

// A request that may not be repeated, as a caller sent it.
struct caller_submit
{
    std::string group;
    std::string service; // empty: chosen by the hash of the key
    std::string key;     // Idempotency-Key
    std::string body;    // JSON
    duration deadline = from_ms(5000);

    friend bool operator==(caller_submit const&,
                           caller_submit const&) = default;
};

// Passed to the owner of the chosen upstream.
struct submit_forward
{
    request_id id;
    std::string group;
    std::string key;
    std::string body;
    upstream_id target;
    duration remaining{};
    fingerprint print;

    friend bool operator==(submit_forward const&,
                           submit_forward const&) = default;
};

// The upstream's answer; the request ran.
struct submit_answered
{
    std::uint32_t status = 200; // HTTP status that the upstream gave
    std::string body;

    friend bool operator==(submit_answered const&,
                           submit_answered const&) = default;
};

// It is certain that the request did not run.
struct submit_not_run
{
    errc reason = errc::internal;

    friend bool operator==(submit_not_run const&,
                           submit_not_run const&) = default;
};

// A byte may have reached an upstream and no answer came back.
struct submit_unknown
{
    errc reason = errc::internal;

    friend bool operator==(submit_unknown const&,
                           submit_unknown const&) = default;
};

using submit_outcome =
    std::variant<submit_answered, submit_not_run, submit_unknown>;

struct submit_result
{
    request_id id;
    submit_outcome outcome;

    friend bool operator==(submit_result const&,
                           submit_result const&) = default;
};

} // namespace snipemill
