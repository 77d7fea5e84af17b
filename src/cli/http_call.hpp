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

// Sends one request; returns the body of a 200, else a failure.
leaf::result<std::string> call_ok(endpoint const& to, http_request request);

} // namespace snipemill::cli
