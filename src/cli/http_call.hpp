#pragma once

#include "adapters/adapters.hpp"
#include "cli/arguments.hpp"

#include <string>
#include <vector>

namespace snipemill::cli {

// Sends one request and waits for its result.
http_result call(endpoint const& to, http_request request,
                 duration timeout = from_ms(10'000));

// Sends the same request to several endpoints at once; the results are in the
// order of the endpoints.
std::vector<http_result> call_all(std::vector<endpoint> const& to,
                                  http_request const& request,
                                  duration timeout = from_ms(3000));

// Prints the JSON error body of a response, or that there was no answer, and
// returns the exit code that goes with it.
int report_failure(http_result const& result);

} // namespace snipemill::cli
