#pragma once

#include "adapters/http/http_server.hpp"
#include "adapters/platform/platform_client.hpp"
#include "adapters/settings/yaml_reader.hpp"
#include "core/config/config_spread.hpp"
#include "core/membership/member_list.hpp"
#include "core/membership/seed_schedule.hpp"
#include "core/owner/owner_engine.hpp"
#include "core/quarantine/crash_bursts.hpp"
#include "core/quarantine/quarantine.hpp"
#include "core/query/query_engine.hpp"
#include "core/submit/claim_removal.hpp"
#include "core/submit/submit_engine.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace snipemill {

enum class log_format : std::uint8_t
{
    text,
    json
};

inline constexpr name_table<log_format, 2> log_format_names{{
    {log_format::text, "text"},
    {log_format::json, "json"},
}};

struct seed_settings
{
    std::string data_centre;
    std::string ip;
    std::uint16_t peer_port = 0;

    friend bool operator==(seed_settings const&,
                           seed_settings const&) = default;
};

// Everything that one entry host learns from its settings file.
struct host_settings
{
    std::string name;
    std::string data_centre;
    std::string ip = "127.0.0.1";
    std::uint16_t caller_port = 0;   // 0: any free port
    std::uint16_t operator_port = 0; // 0: any free port
    std::uint16_t peer_port = 0;     // 0: any free port
    std::uint32_t traffic_threads = 2;
    std::vector<seed_settings> seeds;

    http_server_options http;
    platform_client_options platform;
    member_list_settings membership;
    seed_schedule_settings host_list;
    config_spread_settings spread;
    query_engine_settings query;
    owner_engine_settings owner;
    submit_engine_settings submit;
    claim_removal_settings claims;
    quarantine_settings crashes;
    crash_burst_settings crash_bursts;

    duration drain_linger = from_ms(2000);    // keeps accepting, not ready
    duration drain_timeout = from_ms(30'000); // then open requests are cut
    std::size_t event_capacity = 4096;        // events kept for the time line
    log_format log = log_format::text;
};

using settings_result =
    std::variant<host_settings, std::vector<settings_fault>>;

// Reads and checks a settings file as a whole; reports every fault found.
settings_result parse_host_settings(std::string_view text);

// Reads the file. A file that cannot be read is reported as a fault.
settings_result load_host_settings(std::string const& path);

} // namespace snipemill
