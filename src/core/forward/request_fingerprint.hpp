#pragma once

#include "core/base/strong_id.hpp"

#include <string>
#include <string_view>

namespace snipemill {

// What makes two requests of callers the same request: everything that the
// upstream sees but the id and the deadline of the attempt.
struct request_identity
{
    std::string_view method;
    std::string_view host;
    std::string_view target; // path and query string
    std::string_view caller; // credentials; empty when the request has none
    std::string_view body;
};

// Equal on all hosts.
fingerprint fingerprint_of(request_identity const& request);

// Hexadecimal form for logs and names.
std::string to_text(fingerprint print);

} // namespace snipemill
