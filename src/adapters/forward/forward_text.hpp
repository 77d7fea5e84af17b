#pragma once

#include "adapters/forward/forward_headers.hpp"
#include "adapters/http/http_server.hpp"
#include "core/forward/caller_answer.hpp"
#include "core/forward/exchange.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace snipemill {

// Builds what all upstreams get of a caller's request: the request line and
// the end-to-end headers. Headers that this host sets itself are left out.
forward_request make_forward_request(http_request&& from,
                                     forward_headers const& names);

// The whole request as one upstream gets it.
std::string write_upstream_request(forward_request const& request,
                                   forward_headers const& names,
                                   duration time_left,
                                   std::string const& instance);

upstream_answer read_upstream_answer(http_response&& from,
                                     forward_headers const& names);

// "running,waiting,slots". No value when it is something else.
std::optional<reported_load> read_load(std::string_view text);

http_response write_caller_answer(caller_answer&& answer,
                                  forward_headers const& names);

} // namespace snipemill
