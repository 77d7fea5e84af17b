#pragma once

#include "cli/arguments.hpp"
#include "cli/http_call.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipemill::cli {

// A host as another host knows it, with its own status when it answered.
struct fleet_host
{
    std::string name;
    std::string data_centre;
    endpoint operator_endpoint;
    std::string member_state; // as the asked host knows it
    // Since the asked host knows that it is suspect or dead.
    std::optional<std::int64_t> unreachable_ms = {};
    std::optional<boost::json::object> status;
};

// Asks one host for the members of the fleet and then each of them for its
// status. Fails when the first host does not answer.
leaf::result<std::vector<fleet_host>> fetch_fleet(endpoint const& first);

// Parses a response body as a JSON object.
std::optional<boost::json::object> parse_object(http_result const& result);

} // namespace snipemill::cli
