#pragma once

#include "adapters/http/client_connection.hpp"
#include "adapters/upstream/upstream_pool.hpp"

#include <cstdint>
#include <string>

namespace snipemill {

// Texts of the requests to an upstream.
std::string write_search(sub_request const& request, std::uint64_t id,
                         duration remaining, std::string const& host);
std::string write_execute(submit_forward const& request, std::uint64_t id,
                          duration remaining, std::string const& host);
std::string write_cancel(std::uint64_t id, std::string const& host);
std::string write_status_request(std::string const& host);

// What an exchange means for a query or a submit, as the upstream protocol
// says. Faults are counted.
sub_result read_query_result(exchange_result const& result,
                             upstream_counters& counters);
submit_outcome read_submit_outcome(exchange_result result,
                                   upstream_counters& counters);

} // namespace snipemill
