#include "app/forward/request_log.hpp"

#include "adapters/logging/logger.hpp"

#include <array>
#include <cstdio>

namespace snipemill {

namespace {

std::string ms_text(duration d)
{
    std::array<char, 32> buf{};
    auto const n = std::snprintf(buf.data(), buf.size(), "%.1f", to_ms(d));
    return {buf.data(), static_cast<std::size_t>(n)};
}

} // namespace

void log_request(std::string_view event, std::string const& id,
                 run_summary const& summary, request_end const& end)
{
    log_info(event, {{"id", id},
                     {"route", summary.route},
                     {"manifest", std::to_string(summary.manifest_version)},
                     {"account", std::string(end.account)},
                     {"status", std::to_string(end.status)},
                     {"ms", ms_text(end.latency)},
                     {"parts", std::to_string(summary.services)},
                     {"in", std::to_string(summary.services_answered)},
                     {"sends", std::to_string(summary.attempt_count)},
                     {"hedges", std::to_string(summary.hedges)},
                     {"missing", summary.faults},
                     {"attempts", summary.attempts},
                     {"relays", summary.relays},
                     {"print", summary.print},
                     {"reason", end.reason}});
}

} // namespace snipemill
