#pragma once

#include "core/base/error.hpp"
#include "core/query/messages.hpp"
#include "core/submit/messages.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace snipemill {

// Parses the body of POST /v1/query. Unknown members are refused.
std::variant<caller_query, failure> parse_caller_query(std::string_view body);

// Parses the body of POST /v1/submit.
std::variant<caller_submit, failure> parse_caller_submit(std::string_view body,
                                                         std::string_view key);

std::string write_query_answer(query_answer const& answer);
std::string write_failure(failure const& f);

// HTTP status that goes with a failure.
unsigned http_status(errc code);

} // namespace snipemill
