#pragma once

#include "adapters/logging/line_queue.hpp"
#include "adapters/settings/host_settings.hpp"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipemill {

using log_fields =
    std::initializer_list<std::pair<std::string_view, std::string_view>>;

// Fields whose number is known only at run time.
using log_field_list = std::vector<std::pair<std::string, std::string>>;

// Sets up log4cplus to write to standard error. Call once per process.
void start_logging(log_format format);

// The same with standard output through a queue, which must outlive the
// logging: a full pipe then costs lines and never blocks a thread.
void start_logging(log_format format, line_queue& lines);

// Flushes and stops log4cplus.
void stop_logging();

// Writes one structured line: time, event and fields, as text
// ("event key=value ...") or as one JSON object.
void log_info(std::string_view event, log_fields fields);
void log_info(std::string_view event, log_field_list const& fields);
void log_error(std::string_view event, log_fields fields);

} // namespace snipemill
