#include "adapters/settings/host_settings.hpp"

#include <fstream>
#include <set>
#include <sstream>

namespace snipemill {

namespace {

constexpr value_range<std::int64_t> port_range{0, 65535};
constexpr value_range<std::int64_t> used_port_range{1, 65535};
constexpr value_range<std::int64_t> count_range{1, 1'000'000};
constexpr value_range<std::int64_t> bytes_range{1024, 64LL * 1024 * 1024};
constexpr value_range<std::int64_t> ms_range{1, 24LL * 3600 * 1000};

void read_host(yaml_reader& in, host_settings& out)
{
    in.require("name");
    in.require("data_centre");
    in.read("name", out.name);
    in.read("data_centre", out.data_centre);
    in.read_ip("ip", out.ip);
}

void read_listen(yaml_reader& in, host_settings& out)
{
    in.read("caller_port", out.caller_port, port_range);
    in.read("operator_port", out.operator_port, port_range);
    in.read("peer_port", out.peer_port, port_range);
    auto const clash = [](std::uint16_t a, std::uint16_t b) {
        return a != 0 && a == b;
    };
    if (clash(out.caller_port, out.operator_port) ||
        clash(out.caller_port, out.peer_port) ||
        clash(out.operator_port, out.peer_port)) {
        in.fault("listen has the same port twice");
    }
}

void read_seed(yaml_reader& in, host_settings& out)
{
    seed_settings seed;
    in.require("ip");
    in.require("peer_port");
    in.require("data_centre");
    in.read_ip("ip", seed.ip);
    in.read("peer_port", seed.peer_port, used_port_range);
    in.read("data_centre", seed.data_centre);
    for (auto const& it : out.seeds) {
        if (it.ip == seed.ip && it.peer_port == seed.peer_port) {
            in.fault("seeds has " + seed.ip + ":" +
                     std::to_string(seed.peer_port) + " twice");
        }
    }
    out.seeds.push_back(std::move(seed));
}

void read_platform(yaml_reader& in, platform_client_options& out)
{
    in.require("port");
    in.read_ip("ip", out.ip);
    in.read("port", out.port, used_port_range);
    in.read_ms("call_timeout_ms", out.call_timeout, ms_range);
    in.read("calls_per_second", out.calls_per_second, {0.1, 2000});
    in.read("claim_calls_per_second", out.claim_calls_per_second, {0.1, 2000});
    in.read("burst", out.burst, count_range);
    in.read("breaker_failures", out.breaker_failures, count_range);
    in.read_ms("breaker_open_ms", out.breaker_open, ms_range);
    in.read_ms("breaker_max_ms", out.breaker_max, ms_range);
}

void read_limits(yaml_reader& in, host_settings& out)
{
    std::uint64_t n = 0;
    auto const size = [&](char const* key, std::size_t& to, auto range) {
        n = to;
        in.read(key, n, range);
        to = n;
    };
    size("max_header_bytes", out.http.max_header, bytes_range);
    size("max_body_bytes", out.http.max_body, bytes_range);
    size("max_connections", out.http.max_connections, count_range);
    size("max_queries", out.query.max_queries, count_range);
    size("max_submits", out.submit.max_submits, count_range);
    in.read("max_records", out.query.max_limit, count_range);
    in.read_ms("request_timeout_ms", out.http.header_timeout, ms_range);
    in.read_ms("idle_timeout_ms", out.http.idle_timeout, ms_range);
}

void read_membership(yaml_reader& in, member_list_settings& out)
{
    in.read_ms("probe_interval_ms", out.probe_interval, ms_range);
    in.read_ms("ack_timeout_ms", out.ack_timeout, ms_range);
    in.read("indirect_probes", out.indirect_probes, {0, 16});
    in.read_ms("local_suspicion_ms", out.local_suspicion, ms_range);
    in.read_ms("remote_suspicion_ms", out.remote_suspicion, ms_range);
    in.read("max_updates", out.max_updates, {1, 64});
    in.read_ms("dead_probe_interval_ms", out.dead_probe_interval, ms_range);
    if (out.ack_timeout >= out.probe_interval) {
        in.fault("membership.ack_timeout_ms must be below "
                 "probe_interval_ms");
    }
}

void read_configuration(yaml_reader& in, config_spread_settings& out)
{
    in.read("readers", out.readers, {1, 16});
    in.read_ms("watch_timeout_ms", out.watch_timeout, ms_range);
    in.read_ms("reader_silence_ms", out.reader_silence, ms_range);
    in.read_ms("takeover_jitter_ms", out.takeover_jitter, ms_range);
    in.read("push_fanout", out.push_fanout, {1, 64});
}

void read_upstreams(yaml_reader& in, owner_engine_settings& out)
{
    std::uint64_t queue = out.max_queue;
    in.read_ms("cold_start_interval_ms", out.cold_start_interval, ms_range);
    in.read("good_answers_to_grow", out.good_answers_to_grow, count_range);
    in.read("latency_jump_factor", out.latency_jump_factor, {1.1, 100});
    in.read("max_queue", queue, count_range);
    in.read_ms("status_interval_ms", out.status_interval, ms_range);
    in.read_ms("ramp_status_interval_ms", out.ramp_status_interval, ms_range);
    in.read_ms("handover_hold_ms", out.handover_hold, ms_range);
    in.read("ramp", out.ramp);
    in.read("limit_slots", out.limit_slots);
    out.max_queue = queue;
}

void read_crashes(yaml_reader& in, host_settings& out)
{
    auto& crashes = out.crashes;
    std::uint64_t entries = crashes.max_entries;
    in.read("distinct_upstreams", crashes.distinct_upstreams, {1, 100});
    in.read_ms("expiry_ms", crashes.expiry, ms_range);
    in.read("max_entries", entries, count_range);
    in.read("bursts_per_second", out.crash_bursts.per_second, {0, 1000});
    crashes.max_entries = entries;
}

void read_claims(yaml_reader& in, claim_removal_settings& out)
{
    auto hours = static_cast<std::uint32_t>(out.claim_age.count());
    in.read("age_hours", hours, {min_claim_age.count(), 10'000});
    in.read("removals_per_second", out.removals_per_second, {1, 1000});
    in.read_ms("list_interval_ms", out.list_interval, ms_range);
    in.read_ms("sweep_interval_ms", out.sweep_interval, ms_range);
    out.claim_age = std::chrono::hours(hours);
}

void read_shutdown(yaml_reader& in, host_settings& out)
{
    in.read_ms("linger_ms", out.drain_linger, {0, 600'000});
    in.read_ms("timeout_ms", out.drain_timeout, ms_range);
}

void read_log(yaml_reader& in, host_settings& out)
{
    std::string format;
    std::uint64_t capacity = out.event_capacity;
    in.read("format", format);
    in.read("events", capacity, count_range);
    out.event_capacity = capacity;
    if (format.empty()) {
        return;
    }
    if (auto const value = value_of(log_format_names, format)) {
        out.log = *value;
    }
    else {
        in.fault_at("format", "must be text or json, not '" + format + "'");
    }
}

void read_all(yaml_reader& in, host_settings& out)
{
    in.require("host");
    in.require("platform");
    in.read("traffic_threads", out.traffic_threads, {1, 64});
    in.map("host", [&](yaml_reader& it) { read_host(it, out); });
    in.map("listen", [&](yaml_reader& it) { read_listen(it, out); });
    in.list("seeds", [&](yaml_reader& it) { read_seed(it, out); });
    in.map("platform",
           [&](yaml_reader& it) { read_platform(it, out.platform); });
    in.map("limits", [&](yaml_reader& it) { read_limits(it, out); });
    in.map("membership",
           [&](yaml_reader& it) { read_membership(it, out.membership); });
    in.map("configuration",
           [&](yaml_reader& it) { read_configuration(it, out.spread); });
    in.map("upstreams",
           [&](yaml_reader& it) { read_upstreams(it, out.owner); });
    in.map("crashes", [&](yaml_reader& it) { read_crashes(it, out); });
    in.map("claims", [&](yaml_reader& it) { read_claims(it, out.claims); });
    in.map("shutdown", [&](yaml_reader& it) { read_shutdown(it, out); });
    in.map("log", [&](yaml_reader& it) { read_log(it, out); });
    in.finish();
}

} // namespace

settings_result parse_host_settings(std::string_view text)
{
    std::vector<settings_fault> faults;
    host_settings settings;
    try {
        auto const root = YAML::Load(std::string(text));
        yaml_reader in(root, "", faults);
        read_all(in, settings);
    }
    catch (YAML::Exception const& e) {
        faults.push_back({e.mark.line + 1, e.msg});
    }
    if (!faults.empty()) {
        return faults;
    }
    return settings;
}

settings_result load_host_settings(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::vector<settings_fault>{{0, "the file cannot be read"}};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_host_settings(text.str());
}

} // namespace snipemill
