#include "app/lane_status.hpp"

namespace snipemill {

void add(lane_status& sum, lane_status const& other)
{
    std::vector<std::uint64_t> values;
    for_each_counter(other, [&](std::string_view, std::uint64_t value) {
        values.push_back(value);
    });
    auto it = values.begin();
    for_each_counter(
        sum, [&](std::string_view, std::uint64_t& value) { value += *it++; });
    // Part of a metric with labels, so not among the named counters.
    sum.peer.control_bytes_sent += other.peer.control_bytes_sent;
    sum.peer.control_bytes_received += other.peer.control_bytes_received;
    sum.queries_in_flight += other.queries_in_flight;
    sum.submits_in_flight += other.submits_in_flight;
    sum.sub_requests_in_flight += other.sub_requests_in_flight;
    sum.open_requests += other.open_requests;
    sum.gauges.insert(sum.gauges.end(), other.gauges.begin(),
                      other.gauges.end());
}

} // namespace snipemill
