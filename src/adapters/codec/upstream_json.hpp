#pragma once

#include "core/owner/owner_engine.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipemill {

// Body of POST /search.
std::string write_sub_request(sub_request const& request);

// Body of a 200 to POST /search; no value when it is malformed.
std::optional<sub_answer> parse_sub_answer(std::string_view body);

// Versions named in the body of a 410.
std::vector<index_version> parse_held_versions(std::string_view body);

// Body of GET /status; no value when it is malformed.
std::optional<upstream_status> parse_upstream_status(std::string_view body);

} // namespace snipemill
