#pragma once

#include "app/control_plane.hpp"
#include "app/lane_status.hpp"
#include "app/traffic_metrics.hpp"

#include <string>

namespace snipemill {

// Body of GET /v1/status.
std::string write_host_status(host_settings const& settings,
                              control_status const& control,
                              lane_status const& traffic);

// Body of GET /v1/timeline: events with a sequence above after.
std::string write_timeline(std::string const& host,
                           std::vector<event> const& events);

// Body of GET /v1/crashes.
std::string write_crashes(std::vector<crash_record> const& records);

// Body of GET /metrics in the Prometheus text format.
std::string write_metrics(control_status const& control,
                          lane_status const& traffic,
                          traffic_metrics const& histograms);

} // namespace snipemill
