#pragma once

#include "core/base/time.hpp"
#include "core/forward/caller_answer.hpp"

#include <string>
#include <string_view>

namespace snipemill {

// Outcome of a request.
struct request_end
{
    unsigned status = 0;
    duration latency{};
    std::string_view reason;
    std::string_view account; // empty when the caller has none
};

// Logs one line about a request with the causes of its outcome.
void log_request(std::string_view event, std::string const& id,
                 run_summary const& summary, request_end const& end);

} // namespace snipemill
