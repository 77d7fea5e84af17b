#include "adapters/settings/forward_settings.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace snipemill {

namespace {

constexpr value_range<std::int64_t> host_range{1, 100'000};
constexpr value_range<double> cores_range{0.01, 1024};
constexpr value_range<std::int64_t> memory_range{32, 1 << 24}; // MB
constexpr value_range<double> ratio_range{0, 1};
constexpr value_range<double> count_range{0, 1e6};
constexpr value_range<std::int64_t> seconds_range{1, 3600};
constexpr value_range<std::int64_t> ms_range{1, 3'600'000};

void read_address(yaml_reader& in, std::string const& key, listen_address& out)
{
    std::string text;
    in.require(key);
    in.read(key, text);
    if (text.empty()) {
        return; // reported already
    }
    auto const colon = text.rfind(':');
    auto const* const end = text.data() + text.size();
    if (colon != std::string::npos) {
        out.ip = text.substr(0, colon);
        auto const [last, ec] =
            std::from_chars(text.data() + colon + 1, end, out.port);
        if (ec == std::errc() && last == end && is_ip_address(out.ip)) {
            return;
        }
    }
    in.fault_at(key, "must be ADDRESS:PORT, not '" + text + "'");
}

void read_seconds(yaml_reader& in, std::string const& key, duration& out)
{
    auto n = static_cast<std::uint64_t>(to_ms(out) / 1000);
    in.read(key, n, seconds_range);
    out = from_ms(static_cast<std::int64_t>(n) * 1000);
}

void read_repeats(yaml_reader& in, forward_settings& out)
{
    in.read("ratio", out.retry_budget.ratio, {0, 10});
    in.read("fleet_slack", out.retry_slack, {0, 1e6});
    read_seconds(in, "window_s", out.retry_budget.window);
    out.retry_budget.floor = retry_floor(out.retry_slack, out.hosts);
}

void read_memory(yaml_reader& in, forward_settings& out)
{
    constexpr std::uint64_t mb = 1024 * 1024;
    std::uint64_t n = 0;
    in.read("memory_mb", n, memory_range);
    out.memory = n * mb;
}

void read_usage_caps(yaml_reader& in, usage_tolerance& out)
{
    read_seconds(in, "window_s", out.window);
    in.read("overage", out.overage, ratio_range);
    in.read("slack", out.slack, count_range);
}

void read_rollouts(yaml_reader& in, rollout_bounds& out)
{
    in.read("canary_share", out.canary_share, ratio_range);
    in.read("canary_slack", out.canary_slack, count_range);
    in.read_ms("roll_back_within_ms", out.roll_back_within, ms_range);
}

void read_all(yaml_reader& in, forward_settings& out)
{
    in.require("host");
    in.map("host", [&](yaml_reader& host) {
        host.require("name");
        host.require("data_centre");
        host.read("name", out.name);
        host.read("data_centre", out.data_centre);
        host.read("cores", out.cores, cores_range);
        read_memory(host, out);
        host.finish();
    });
    in.require("listen");
    in.map("listen", [&](yaml_reader& listen) {
        read_address(listen, "callers", out.callers);
        read_address(listen, "readiness", out.readiness);
        read_address(listen, "metrics", out.metrics);
        if (listen.has("relay")) {
            read_address(listen, "relay", out.relay.emplace());
        }
        listen.finish();
    });
    in.require("store");
    in.map("store", [&](yaml_reader& store) {
        read_address(store, "address", out.store);
        read_seconds(store, "history_s", out.store_history);
        store.read_ms("report_interval_ms", out.report_interval, ms_range);
        store.finish();
    });
    in.map("fleet", [&](yaml_reader& fleet) {
        fleet.read("hosts", out.hosts, host_range);
        fleet.finish();
    });
    in.map("repeats", [&](yaml_reader& retry_budget) {
        read_repeats(retry_budget, out);
        retry_budget.finish();
    });
    if (in.has("usage_caps")) {
        in.map("usage_caps", [&](yaml_reader& caps) {
            read_usage_caps(caps, out.usage_caps.emplace());
            caps.finish();
        });
    }
    in.map("placement", [&](yaml_reader& placement) {
        placement.read("expected_finish", out.expected_finish);
        placement.finish();
    });
    if (in.has("rollouts")) {
        in.map("rollouts", [&](yaml_reader& rollouts) {
            read_rollouts(rollouts, out.rollouts.emplace());
            rollouts.finish();
        });
    }
    in.map("bounds", [&](yaml_reader& bounds) {
        bounds.read_ms("leave_within_ms", out.leave_within, ms_range);
        bounds.read_ms("change_within_ms", out.change_within, ms_range);
        bounds.read_ms("evacuate_within_ms", out.evacuate_within, ms_range);
        read_seconds(bounds, "stop_within_s", out.stop_within);
        bounds.finish();
    });
    in.finish();
}

} // namespace

forward_settings_result parse_forward_settings(std::string_view text)
{
    std::vector<settings_fault> faults;
    forward_settings settings;
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

forward_settings_result load_forward_settings(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::vector<settings_fault>{{0, "the file cannot be read"}};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_forward_settings(text.str());
}

} // namespace snipemill
