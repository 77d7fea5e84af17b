#pragma once

#include "core/base/time.hpp"
#include "core/forward/caller_answer.hpp"

#include <string>
#include <string_view>

namespace snipemill {

// How a request ended.
struct request_end
{
    unsigned status = 0;
    duration latency{};
    std::string_view reason;
};

// Writes the line of a request with what decided its outcome.
void log_request(std::string_view event, std::string const& id,
                 run_summary const& summary, request_end const& end);

} // namespace snipemill
