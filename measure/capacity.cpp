#include "measure/measure.hpp"
#include "testbed/fleet.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <filesystem>
#include <map>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace measure {

namespace {

namespace json = boost::json;
using namespace testbed;
using steady = std::chrono::steady_clock;

constexpr double target_hosts = 480;

// A probe carries at most 8 member updates. Smaller fleets cannot fill it, so
// that their bytes grow with the fleet only because of that.
constexpr std::uint32_t fewest_fitted_hosts = 12;

double number_at(json::object const& from, std::string const& section,
                 std::string const& field)
{
    return from.at(section).as_object().at(field).to_number<double>();
}

// Cumulative use of one host.
struct host_sample
{
    double cpu_seconds = 0;
    double resident_bytes = 0;
    json::object status;
};

host_sample sample(fleet& f, std::size_t i)
{
    auto const usage = usage_of(f.hosts()[i].process->pid());
    auto status = f.host_status(i);
    if (!status) {
        throw std::runtime_error(f.hosts()[i].name + " gives no status");
    }
    return {.cpu_seconds = usage.cpu_seconds,
            .resident_bytes = usage.resident_bytes,
            .status = std::move(*status)};
}

std::vector<host_sample> sample_all(fleet& f)
{
    std::vector<host_sample> out;
    for (std::size_t i = 0; i < f.hosts().size(); ++i) {
        out.push_back(sample(f, i));
    }
    return out;
}

// Bytes per second and host between two samples, by field of the status.
double mean_rate(std::vector<host_sample> const& before,
                 std::vector<host_sample> const& after, double seconds,
                 std::string const& field)
{
    double sum = 0;
    for (std::size_t i = 0; i < after.size(); ++i) {
        sum += number_at(after[i].status, "control", field) -
               number_at(before[i].status, "control", field);
    }
    return sum / seconds / static_cast<double>(after.size());
}

// Means over the hosts for the time between two samples.
figures control_figures(std::vector<host_sample> const& before,
                        std::vector<host_sample> const& after, double seconds)
{
    double cpu = 0;
    double resident = 0;
    double readers = 0;
    for (std::size_t i = 0; i < after.size(); ++i) {
        auto const& config = after[i].status.at("config").as_object();
        readers += config.at("reader").as_bool() ? 1 : 0;
        cpu += after[i].cpu_seconds - before[i].cpu_seconds;
        resident += after[i].resident_bytes;
    }
    auto const rate = [&](std::string const& field) {
        return mean_rate(before, after, seconds, field);
    };
    auto const hosts = static_cast<double>(after.size());
    figures out{{"cpu_core_share", cpu / seconds / hosts},
                {"rss_mb", resident / 1e6 / hosts},
                {"readers", readers}};
    for (std::string const direction : {"sent", "received"}) {
        auto const suffix = "_" + direction + "_bytes_per_s";
        auto& sum = out["control" + suffix];
        for (std::string const kind :
             {"probe", "stream", "served", "platform"}) {
            auto field = kind;
            field.append("_bytes_").append(direction);
            auto const n = rate(field);
            out[kind + suffix] = n;
            sum += n;
        }
    }
    return out;
}

// Two hosts are in two data centres, more are spread over three. The number
// of upstreams per host is that of the target size (2,300 / 480, rounded up),
// so that status polls per host do not change with the size of the fleet.
figures observe_idle_fleet(std::uint32_t hosts)
{
    constexpr std::uint32_t upstreams_per_host = 5;
    constexpr std::uint32_t replicas = 2;
    std::vector<std::string> data_centres{"colombo", "kelaniya", "gampaha"};
    data_centres.resize(std::min<std::size_t>(hosts, 3));
    auto const per_data_centre =
        hosts / static_cast<std::uint32_t>(data_centres.size());
    fleet f({.data_centres = data_centres,
             .hosts_per_data_centre = per_data_centre,
             .services = hosts * upstreams_per_host / replicas,
             .replicas = replicas,
             .traffic_threads = 1});
    std::this_thread::sleep_for(std::chrono::seconds(1));
    auto const start = steady::now();
    auto const before = sample_all(f);
    std::this_thread::sleep_for(std::chrono::seconds(5));
    auto const after = sample_all(f);
    std::chrono::duration<double> const took = steady::now() - start;
    return control_figures(before, after, took.count());
}

struct straight_line
{
    double slope = 0;
    double offset = 0;

    double at(double x) const { return offset + slope * x; }
};

// Least squares over (x, y).
straight_line fit(std::vector<std::pair<double, double>> const& points)
{
    auto const n = static_cast<double>(points.size());
    double x = 0;
    double y = 0;
    for (auto const& it : points) {
        x += it.first / n;
        y += it.second / n;
    }
    double xy = 0;
    double xx = 0;
    for (auto const& it : points) {
        xy += (it.first - x) * (it.second - y);
        xx += (it.first - x) * (it.first - x);
    }
    auto const slope = xy / xx;
    return {.slope = slope, .offset = y - slope * x};
}

} // namespace

result run_control()
{
    result out;
    std::map<std::string, std::vector<std::pair<double, double>>> points;
    for (std::uint32_t const hosts : {2U, 6U, 12U, 24U, 48U}) {
        auto const values = observe_idle_fleet(hosts);
        out["hosts_" + std::to_string(hosts)] = values;
        if (hosts < fewest_fitted_hosts) {
            continue;
        }
        for (auto const& [field, value] : values) {
            points[field].emplace_back(hosts, value);
        }
    }
    auto& target = out["at_480"];
    for (auto const& [field, values] : points) {
        auto const line = fit(values);
        target[field] = line.at(target_hosts);
        target["slope_" + field] = line.slope;
    }
    return out;
}

namespace {

double dispatched(host_sample const& s)
{
    return number_at(s.status, "counters", "owner_dispatched_total");
}

double traffic_sent(host_sample const& s)
{
    return number_at(s.status, "counters", "traffic_bytes_sent_total");
}

// Host 1 is root and owner, host 2 is owner only. The owner's time on host 1
// is taken to be that on host 2; the rest of host 1 is the root's.
figures traffic_figures(std::vector<host_sample> const& before,
                        std::vector<host_sample> const& after,
                        std::vector<query_sample> const& samples)
{
    double sub_requests = 0;
    double failed = 0;
    for (auto const& it : samples) {
        sub_requests += it.sub_requests;
        failed += it.status != 200 ? 1 : 0;
    }
    auto const cpu = [&](std::size_t i) {
        return (after[i].cpu_seconds - before[i].cpu_seconds) * 1e6;
    };
    auto const owned = [&](std::size_t i) {
        return dispatched(after[i]) - dispatched(before[i]);
    };
    auto const owner_us = cpu(1) / owned(1);
    auto const root_us = (cpu(0) - owner_us * owned(0)) / sub_requests;
    auto const sent = traffic_sent(after[1]) - traffic_sent(before[1]);
    return {{"owner_cpu_us_per_sub_request", owner_us},
            {"root_cpu_us_per_sub_request", root_us},
            {"both_cpu_us_per_sub_request", (cpu(0) + cpu(1)) / sub_requests},
            {"owner_sent_bytes_per_sub_request", sent / owned(1)},
            {"p50_ms", quantile(latencies(samples), 0.5)},
            {"p99_ms", quantile(latencies(samples), 0.99)},
            {"failed", failed},
            {"sub_requests", sub_requests}};
}

// Every arm sends the same number of sub-requests per second.
figures observe_traffic(std::uint32_t services, std::uint32_t threads)
{
    constexpr std::uint32_t sub_requests_per_second = 4000;
    constexpr std::uint32_t seconds = 4;
    fleet f({.data_centres = {"colombo"},
             .services = services,
             .upstream_arguments = {"--latency-ms", "2"},
             .traffic_threads = threads});
    auto const rate = sub_requests_per_second / services;
    load_options load{.targets = {f.caller_targets().front()},
                      .body = R"({"group":"stores-desk","query":{},"limit":20,)"
                              R"("order":"desc"})",
                      .rate = static_cast<double>(rate),
                      .count = rate};
    // Connections and limits settle before the figures.
    run_load(load);
    load.count = rate * seconds;
    auto const before = sample_all(f);
    auto const samples = run_load(load);
    auto const after = sample_all(f);
    return traffic_figures(before, after, samples);
}

} // namespace

result run_traffic()
{
    result out;
    for (std::uint32_t const threads : {1U, 2U}) {
        for (std::uint32_t const upstreams : {20U, 80U}) {
            auto const arm = "upstreams_" + std::to_string(upstreams) +
                             "_threads_" + std::to_string(threads);
            out[arm] = observe_traffic(upstreams / 2, threads);
        }
    }
    return out;
}

namespace {

double microseconds_per(std::string const& unit)
{
    static std::map<std::string, double> const units{
        {"ns", 1e-3}, {"us", 1}, {"ms", 1e3}, {"s", 1e6}};
    return units.at(unit);
}

// "name/480/process_time/real_time" is the benchmark "name" of size 480.
struct benchmark_name
{
    std::string base;
    std::string size; // empty when there is only one
};

benchmark_name split_name(std::string const& name)
{
    auto const end = name.find('/');
    benchmark_name out{.base = name.substr(0, end)};
    if (end == std::string::npos) {
        return out;
    }
    auto const rest = name.substr(end + 1);
    auto const size = rest.substr(0, rest.find('/'));
    if (!size.empty() &&
        size.find_first_not_of("0123456789") == std::string::npos) {
        out.size = size;
    }
    return out;
}

// Time per iteration, the processor time when it counts all threads, and the
// counters of bytes and of time per sub-request.
figures benchmark_figures(json::object const& run, std::string const& name)
{
    auto const scale =
        microseconds_per(run.at("time_unit").as_string().c_str());
    figures out{
        {name + "_us", run.at("real_time").to_number<double>() * scale}};
    std::string const full = run.at("name").as_string().c_str();
    if (full.find("/process_time") != std::string::npos) {
        out[name + "_cpu_us"] = run.at("cpu_time").to_number<double>() * scale;
    }
    for (auto const* field : {"bytes", "bytes_per_upstream"}) {
        if (auto const* value = run.if_contains(field)) {
            out[name + "_" + field] = value->to_number<double>();
        }
    }
    if (auto const* value = run.if_contains("per_sub_request")) {
        out[name + "_per_sub_request_us"] = value->to_number<double>() * 1e6;
    }
    if (auto const* value = run.if_contains("items_per_second")) {
        out[name + "_per_item_us"] = 1e6 / value->to_number<double>();
    }
    return out;
}

json::array run_benchmarks()
{
    auto const self = std::filesystem::read_symlink("/proc/self/exe");
    auto const program = self.parent_path() / "snipemill-perf";
    auto const run = run_program({program.string(), "--benchmark_format=json",
                                  "--benchmark_min_time=0.05"});
    if (run.code != 0) {
        throw std::runtime_error("snipemill-perf ended with code " +
                                 std::to_string(run.code));
    }
    return json::parse(run.output).as_object().at("benchmarks").as_array();
}

// Exponent of a power law through the smallest and the largest size.
double growth(std::map<double, double> const& time_by_size)
{
    auto const& [small, small_time] = *time_by_size.begin();
    auto const& [large, large_time] = *time_by_size.rbegin();
    return std::log(large_time / small_time) / std::log(large / small);
}

} // namespace

result run_slopes()
{
    figures out;
    std::map<std::string, std::map<double, double>> sizes;
    for (auto const& it : run_benchmarks()) {
        auto const& run = it.as_object();
        std::string const full = run.at("name").as_string().c_str();
        if (run.contains("error_occurred")) {
            throw std::runtime_error(full + " failed");
        }
        auto const [base, size] = split_name(full);
        auto const name =
            size.empty() ? base : std::string(base).append("_").append(size);
        auto const values = benchmark_figures(run, name);
        out.insert(values.begin(), values.end());
        if (!size.empty()) {
            sizes[base][std::stod(size)] = values.at(name + "_us");
        }
    }
    for (auto const& [base, time_by_size] : sizes) {
        if (time_by_size.size() > 1) {
            out[base + "_growth"] = growth(time_by_size);
        }
    }
    return {{"main", out}};
}

} // namespace measure
