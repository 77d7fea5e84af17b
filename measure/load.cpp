#include "measure/measure.hpp"
#include "testbed/background_load.hpp"
#include "testbed/fleet.hpp"
#include "testbed/fleet_work.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace measure {

namespace {

using namespace testbed;
using steady = std::chrono::steady_clock;

std::string const query_body =
    R"({"group":"stores-desk","query":{},"limit":20,"order":"desc"})";

// Answers state what they lack instead of being refused for it.
std::string const any_coverage = "deadline_ms: 2000, min_coverage: 0, ";

double sum(fleet& f, char const* name)
{
    return static_cast<double>(f.sum_upstreams(name));
}

double coverage_min(std::vector<query_sample> const& samples)
{
    double least = 1;
    for (auto const& it : samples) {
        if (it.status == 200) {
            least = std::min(least, it.coverage.value_or(0));
        }
    }
    return least;
}

bool full(query_sample const& it)
{
    return it.status == 200 && it.coverage == 1.0;
}

void require(bool condition, char const* what)
{
    if (!condition) {
        throw std::runtime_error(what);
    }
}

// cold

constexpr double cold_rate = 120;
constexpr std::uint32_t before_restart = 240;
constexpr std::uint32_t after_restart = 1320;

// Warm, an upstream gets 60 requests of 10 ms each second. Cold, it can do 20,
// and three at a time collapse it.
figures run_cold_arm(std::string const& ramp)
{
    fleet f({.group_settings = "deadline_ms: 500, min_coverage: 0, ",
             .services = 8,
             .slots = 6,
             .connections = 50,
             .upstream_arguments = {"--latency-ms", "10", "--cold-limit", "2"},
             .host_settings = "upstreams: {ramp: " + ramp + "}\n"});
    load_options load{.targets = f.caller_targets(),
                      .body = query_body,
                      .rate = cold_rate,
                      .count = before_restart + after_restart};
    load.before = [&](std::uint32_t i, std::chrono::milliseconds) {
        if (i == before_restart) {
            f.control_upstreams(R"({"cold_ms":1000,"restart":true})");
        }
    };
    auto const samples = run_load(load);
    double served = 0;
    std::uint32_t last_lacking = before_restart;
    for (auto i = before_restart; i < load.count; ++i) {
        served += samples[i].coverage.value_or(0);
        last_lacking = full(samples[i]) ? last_lacking : i + 1;
    }
    return {{"collapses", sum(f, "collapses")},
            {"failed", static_cast<double>(failures(samples))},
            {"served", served / after_restart},
            {"seconds_to_full", (last_lacking - before_restart) / cold_rate},
            {"observed_s", after_restart / cold_rate}};
}

// drain

fleet_options loaded_fleet()
{
    return {.group_settings = any_coverage,
            .services = 6,
            .upstream_arguments = {"--latency-ms", "10"}};
}

// Time from the acceptance to the last request within the next 5 s.
double new_work_after(fleet& f, std::vector<std::size_t> const& upstreams,
                      std::int64_t accepted)
{
    wait_until(
        [&] { return upstream_counter(f, 0, "now_ms") > accepted + 5000; });
    std::int64_t last = accepted;
    for (auto const i : upstreams) {
        last = std::max(last, upstream_counter(f, i, "last_request_ms"));
    }
    return static_cast<double>(last - accepted) / 1000;
}

void add_samples(figures& out, std::vector<query_sample> const& samples)
{
    out["failed"] = static_cast<double>(failures(samples));
    out["cut_off"] = static_cast<double>(cut_off(samples));
    out["coverage_min"] = coverage_min(samples);
    out["queries"] = static_cast<double>(samples.size());
}

figures leave_and_return(fleet& f, background_options const& options,
                         std::vector<std::size_t> const& upstreams,
                         std::function<void()> const& leave,
                         std::function<void()> const& come_back)
{
    background_load load(options);
    require(all_serve(f, upstreams, upstream_counter(f, 0, "now_ms")),
            "an upstream gets no requests");
    auto const accepted = upstream_counter(f, 0, "now_ms");
    leave();
    figures out;
    out["new_work_after_s"] = new_work_after(f, upstreams, accepted);
    auto const returned = upstream_counter(f, 0, "now_ms");
    come_back();
    require(all_serve(f, upstreams, returned),
            "an upstream gets no requests after its return");
    add_samples(out, load.finish());
    return out;
}

figures stop_host(fleet& f, background_options const& options)
{
    background_load load(options);
    wait_until([&] { return load.samples().size() > 100; });
    f.hosts()[0].process->signal(SIGTERM);
    figures out;
    out["exit_code"] = f.hosts()[0].process->wait();
    f.kill_host(0); // it has ended; the fleet leaves it out from now on
    std::this_thread::sleep_for(std::chrono::seconds(2));
    add_samples(out, load.finish());
    return out;
}

void submit(fleet& f, std::string const& objects)
{
    require(f.submit(objects).code == 0, "a ticket was refused");
}

// limits

figures run_limits_arm(std::string const& limit_slots)
{
    fleet f(
        {.data_centres = {"colombo"},
         .hosts_per_data_centre = 7,
         .group_settings = any_coverage,
         .services = 10,
         .upstream_arguments = {"--latency-ms", "10"},
         .host_settings = "upstreams: {limit_slots: " + limit_slots + "}\n"});
    auto const samples = run_load({.targets = f.caller_targets(),
                                   .body = query_body,
                                   .rate = 120,
                                   .count = 1440});
    return {{"slot_violations", sum(f, "slot_violations")},
            {"connection_violations", sum(f, "connection_violations")},
            {"p99_ms", quantile(latencies(samples), 0.99)},
            {"failed", static_cast<double>(failures(samples))},
            {"queries", static_cast<double>(samples.size())}};
}

} // namespace

result run_cold()
{
    return {{"no_ramp", run_cold_arm("false")}, {"ramp", run_cold_arm("true")}};
}

result run_drain()
{
    constexpr double rate = 80;
    // Upstreams of colombo: replica r of service s is in (s + r) modulo 3.
    std::vector<std::size_t> const in_colombo{0, 5, 6, 11};
    fleet f(loaded_fleet());
    background_options const outside{
        .targets = [&] { return targets_outside(f, "colombo"); },
        .body = query_body,
        .rate = rate};
    background_options const everywhere{
        .targets = [&] { return ready_targets(f); },
        .body = query_body,
        .rate = rate};
    result out;
    out["data_centre"] = leave_and_return(
        f, outside, in_colombo,
        [&] { submit(f, f.data_centre_object("colombo", "out")); },
        [&] { submit(f, f.data_centre_object("colombo", "in")); });
    out["upstream"] = leave_and_return(
        f, everywhere, {0}, [&] { submit(f, f.upstream_object(0, "leaving")); },
        [&] { submit(f, f.upstream_object(0, "active")); });
    out["upstream_draining"] = leave_and_return(
        f, everywhere, {0},
        [&] { f.control_upstream(0, R"({"draining":true})"); },
        [&] { f.control_upstream(0, R"({"draining":false})"); });
    out["host"] = stop_host(f, everywhere);
    return out;
}

result run_limits()
{
    return {{"per_host", run_limits_arm("false")},
            {"owned", run_limits_arm("true")}};
}

result run_owner_loss()
{
    fleet f(loaded_fleet());
    auto others = f.caller_targets();
    others.erase(others.begin());
    background_load load(
        {.targets = [&] { return others; }, .body = query_body, .rate = 80});
    require(wait_until([&] { return load.samples().size() > 200; }),
            "no queries were answered");
    auto const before = sum(f, "slot_violations");
    auto const killed = steady::now();
    f.kill_host(0);
    require(wait_until([&] { return f.settled(1); }),
            "an upstream has no owner after 20 s");
    std::chrono::duration<double> const recovery = steady::now() - killed;
    std::this_thread::sleep_for(std::chrono::seconds(5));
    figures out{{"slot_violations", sum(f, "slot_violations") - before},
                {"recovery_s", recovery.count()}};
    add_samples(out, load.finish());
    return {{"main", out}};
}

} // namespace measure
