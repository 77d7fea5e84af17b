#pragma once

#include "core/ownership/owner_table.hpp"
#include "core/submit/messages.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace snipemill {

// An upstream for a submit and the host that owns it.
struct submit_target
{
    upstream_id upstream;
    host_id owner;
};

// Why a request is refused before its key is claimed; no value: it is not.
// view is null before the first configuration.
std::optional<failure> submit_refusal(routing_view const* view,
                                      caller_submit const& request);

// The next upstream of the request's service that has not been tried: usable,
// owned, of the own data centre first. The key decides between equals.
std::optional<submit_target>
choose_submit_target(routing_view const& view, caller_submit const& request,
                     std::vector<upstream_id> const& tried);

} // namespace snipemill
