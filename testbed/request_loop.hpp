#pragma once

#include "adapters/http/http_client.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace testbed {

struct load_target
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;
};

// The requests of one run; each function gets the number of a request.
struct request_loop_options
{
    std::vector<load_target> const* targets = nullptr;
    std::size_t count = 0;
    snipemill::duration timeout{}; // of each request
    // When the request is sent, after the start of the run; never before the
    // request with the number below.
    std::function<std::chrono::steady_clock::duration(std::size_t)> at;
    std::function<std::size_t(std::size_t)> target; // position in targets
    // Called with the elapsed time when the request is due.
    std::function<snipemill::http_request(std::size_t,
                                          std::chrono::milliseconds)>
        make;
    std::function<void(std::size_t, snipemill::http_result const&,
                       double latency_ms)>
        done;
};

// Sends requests at their times, whether or not earlier ones were answered.
// Blocks until all have ended.
void run_requests(request_loop_options const& options);

} // namespace testbed
