#pragma once

#include "adapters/forward/forward_headers.hpp"
#include "adapters/http/http_server.hpp"
#include "core/accounts/caller_identity.hpp"
#include "core/forward/caller_answer.hpp"
#include "core/forward/exchange.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace snipemill {

// Converts a caller's request to the form that is the same for every upstream:
// request line, end-to-end headers and body. Leaves out the headers that
// write_upstream_request() sets for each attempt. Where accounts are in force,
// the name of the caller's account takes the place of its key.
forward_request make_forward_request(http_request&& from,
                                     forward_headers const& names,
                                     caller_identity const& caller = {});

// Returns the request as it is sent to one upstream instance.
std::string write_upstream_request(forward_request const& request,
                                   forward_headers const& names,
                                   duration time_left,
                                   std::string const& instance);

upstream_answer read_upstream_answer(http_response&& from,
                                     forward_headers const& names);

// What the headers of an answer say about the upstream. Values of another form
// are ignored.
upstream_signals read_signals(unsigned status, header_list const& headers,
                              forward_headers const& names);

// Parses "running,waiting,slots" or "running,waiting,slots,speed"; further
// fields are ignored. No value when the text has another form.
std::optional<reported_load> read_load(std::string_view text);

http_response write_caller_answer(caller_answer&& answer,
                                  forward_headers const& names);

} // namespace snipemill
