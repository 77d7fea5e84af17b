#pragma once

#include "core/base/name_table.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace snipemill {

// Every kind of failure that crosses a module boundary.
enum class errc : std::uint8_t
{
    ok,
    malformed_request,
    unknown_route,
    body_too_large,
    header_too_large,
    request_timeout,
    unknown_group,
    no_configuration,
    overloaded,
    shutting_down,
    data_centre_out,
    coverage_too_low,
    deadline_exceeded,
    quarantined,
    version_gone,
    key_required,
    key_reused,
    in_progress,
    platform_unavailable,
    peer_unreachable,
    peer_protocol,
    upstream_unreachable,
    upstream_reset,
    upstream_shed,
    upstream_draining,
    upstream_failed,
    cancelled,
    conflict,
    not_found,
    invalid_ticket,
    invalid_settings,
    internal,
    unauthorised,
    over_usage_cap,
};

inline constexpr name_table<errc, 34> errc_names{{
    {errc::ok, "ok"},
    {errc::malformed_request, "malformed_request"},
    {errc::unknown_route, "unknown_route"},
    {errc::body_too_large, "body_too_large"},
    {errc::header_too_large, "header_too_large"},
    {errc::request_timeout, "request_timeout"},
    {errc::unknown_group, "unknown_group"},
    {errc::no_configuration, "no_configuration"},
    {errc::overloaded, "overloaded"},
    {errc::shutting_down, "shutting_down"},
    {errc::data_centre_out, "data_centre_out"},
    {errc::coverage_too_low, "coverage_too_low"},
    {errc::deadline_exceeded, "deadline_exceeded"},
    {errc::quarantined, "quarantined"},
    {errc::version_gone, "version_gone"},
    {errc::key_required, "key_required"},
    {errc::key_reused, "key_reused"},
    {errc::in_progress, "in_progress"},
    {errc::platform_unavailable, "platform_unavailable"},
    {errc::peer_unreachable, "peer_unreachable"},
    {errc::peer_protocol, "peer_protocol"},
    {errc::upstream_unreachable, "upstream_unreachable"},
    {errc::upstream_reset, "upstream_reset"},
    {errc::upstream_shed, "upstream_shed"},
    {errc::upstream_draining, "upstream_draining"},
    {errc::upstream_failed, "upstream_failed"},
    {errc::cancelled, "cancelled"},
    {errc::conflict, "conflict"},
    {errc::not_found, "not_found"},
    {errc::invalid_ticket, "invalid_ticket"},
    {errc::invalid_settings, "invalid_settings"},
    {errc::internal, "internal"},
    {errc::unauthorised, "unauthorised"},
    {errc::over_usage_cap, "over_usage_cap"},
}};

constexpr std::string_view to_string(errc ec)
{
    return name_of(errc_names, ec);
}

// What is known about whether a refused or failed request ran.
enum class run_state : std::uint8_t
{
    not_run,
    ran,
    unknown
};

inline constexpr name_table<run_state, 3> run_state_names{{
    {run_state::not_run, "not_run"},
    {run_state::ran, "ran"},
    {run_state::unknown, "unknown"},
}};

constexpr std::string_view to_string(run_state s)
{
    return name_of(run_state_names, s);
}

// A failure as it is reported to a caller or an operator. detail is for
// people; programs decide on code and run.
struct failure
{
    errc code = errc::internal;
    run_state run = run_state::unknown;
    std::string detail;

    friend bool operator==(failure const&, failure const&) = default;
};

} // namespace snipemill
