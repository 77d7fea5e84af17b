#pragma once

#include "core/base/error.hpp"
#include "core/base/time.hpp"
#include "core/forward/exchange.hpp"

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace snipemill {

// The upstream's own answer, passed on unchanged.
struct proxied_answer
{
    upstream_answer answer;
};

// An answer merged from the parts of several shards.
struct merged_answer
{
    std::string body;
    std::vector<std::string> stamps; // of the parts that are in
    std::size_t missing = 0;         // shards that are left out
};

// This host's own refusal or failure.
struct error_answer
{
    unsigned status = 503;
    failure reason;
    duration retry_after{}; // with 503: when to come back
};

using caller_answer = std::variant<proxied_answer, merged_answer, error_answer>;

// What is told of a request in its log line.
struct run_summary
{
    std::string route;
    std::uint64_t manifest_version = 0;
    std::uint32_t services = 0;
    std::uint32_t services_answered = 0;
    std::uint32_t attempt_count = 0;
    std::uint32_t hedges = 0;
    std::string faults; // of the parts that are missing
    // The sends of parts that are missing or took more than one send, up to a
    // bound.
    std::string attempts;
    std::string relays; // that were asked, and how each ended
};

} // namespace snipemill
