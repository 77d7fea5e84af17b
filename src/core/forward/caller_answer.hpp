#pragma once

#include "core/base/error.hpp"
#include "core/base/time.hpp"
#include "core/forward/exchange.hpp"

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace snipemill {

// An upstream's answer, passed on unchanged.
struct proxied_answer
{
    upstream_answer answer;
};

// An answer merged from shard answers.
struct merged_answer
{
    std::string body;
    std::vector<std::string> stamps; // of the merged shard answers
    std::size_t missing = 0;         // number of shards without an answer
};

// An error that this host reports itself.
struct error_answer
{
    unsigned status = 503;
    failure reason;
    duration retry_after{}; // sent with status 503
};

using caller_answer = std::variant<proxied_answer, merged_answer, error_answer>;

// Summary of a request for the request log.
struct run_summary
{
    std::string route;
    std::uint64_t manifest_version = 0;
    std::uint32_t services = 0;
    std::uint32_t services_answered = 0;
    std::uint32_t attempt_count = 0;
    std::uint32_t hedges = 0;
    std::string faults; // of the services without an answer, with counts
    // Attempts of the services that gave no answer or took more than one
    // attempt; limited in number.
    std::string attempts;
    // Fingerprint of a request that lost an attempt; empty otherwise.
    std::string print;
    std::string relays; // relays that were called, with their outcomes
};

} // namespace snipemill
