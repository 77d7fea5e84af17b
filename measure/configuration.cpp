#include "measure/measure.hpp"
#include "testbed/fleet.hpp"
#include "testbed/ticket_watch.hpp"

#include <array>
#include <chrono>
#include <csignal>
#include <fstream>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace measure {

namespace {

using namespace testbed;
using clock_type = std::chrono::steady_clock;

std::string const query_body =
    R"({"group":"stores-desk","query":{},"limit":20})";

double seconds_since(clock_type::time_point start, clock_type::time_point end)
{
    return std::chrono::duration<double>(end - start).count();
}

fleet_options small_fleet()
{
    return {.group_settings = "deadline_ms: 2000, ",
            .services = 12,
            .upstream_arguments = {"--latency-ms", "2", "--partitions", "24",
                                   "--records-per-partition", "5"},
            .traffic_threads = 1};
}

// Changes nothing that queries depend on.
std::string group_object(std::uint64_t priority)
{
    return "  - {kind: group, name: stores-desk, deadline_ms: 2000, "
           "priority: " +
           std::to_string(priority) + "}\n";
}

// One operator's ticket with this number.
program_result submit_as(fleet& f, std::string const& author,
                         std::uint64_t number)
{
    auto const file = (f.folder() / (author + ".yaml")).string();
    std::ofstream(file) << "number: " << number << "\nauthor: " << author
                        << "\nreason: measure\nobjects:\n"
                        << group_object(number);
    return f.run({"ticket", "submit", file, "--platform",
                  "127.0.0.1:" + std::to_string(f.platform_port())});
}

struct race_result
{
    std::uint32_t accepts = 0;
    clock_type::time_point start;
};

// Operators submit different tickets with the same number at the same time.
race_result race(fleet& f, std::uint64_t number)
{
    constexpr int operators = 3;
    race_result out{.start = clock_type::now()};
    std::vector<std::future<program_result>> running;
    running.reserve(operators);
    for (int i = 0; i < operators; ++i) {
        running.push_back(std::async(std::launch::async, [&f, i, number] {
            return submit_as(f, "operator-" + std::to_string(i), number);
        }));
    }
    for (auto& it : running) {
        out.accepts += it.get().code == 0 ? 1 : 0;
    }
    return out;
}

// Queries in a thread of their own, with events in the meantime.
class background_load
{
public:
    background_load(std::vector<load_target> targets, std::uint32_t count)
        : samples_(std::async(std::launch::async, run_load,
                              load_options{.targets = std::move(targets),
                                           .body = query_body,
                                           .rate = rate,
                                           .count = count}))
    {}

    std::vector<query_sample> wait() { return samples_.get(); }

    static constexpr double rate = 40;

private:
    std::future<std::vector<query_sample>> samples_;
};

struct answer_counts
{
    double queries = 0;
    double failed = 0;
    double incomplete = 0;

    void add(std::vector<query_sample> const& samples)
    {
        for (auto const& it : samples) {
            queries += 1;
            failed += it.status != 200 ? 1 : 0;
            incomplete += it.status == 200 && it.coverage != 1.0 ? 1 : 0;
        }
    }
};

std::vector<load_target> targets_but(fleet& f, std::string const& host,
                                     std::string const& data_centre)
{
    std::vector<load_target> out;
    for (auto const& it : f.hosts()) {
        if (it.name != host && it.data_centre != data_centre) {
            out.push_back({.port = it.caller_port});
        }
    }
    return out;
}

void signal_data_centre(fleet& f, std::string const& name, int number)
{
    for (auto const& it : f.hosts()) {
        if (it.data_centre == name) {
            it.process->signal(number);
        }
    }
}

// Kills a host, starts another in its place and returns the time until that
// one is ready.
double replace_host(fleet& f, std::size_t i)
{
    constexpr auto pause = std::chrono::seconds(1);
    std::this_thread::sleep_for(pause);
    f.kill_host(i);
    std::this_thread::sleep_for(pause);
    auto const start = clock_type::now();
    f.start_host(i);
    if (!wait_until([&] { return f.ready(i); })) {
        throw std::runtime_error("the replaced host did not become ready");
    }
    return seconds_since(start, clock_type::now());
}

double calls_of(fleet& f)
{
    auto const counters = f.platform_counters();
    if (!counters) {
        throw std::runtime_error("the platform has no counters");
    }
    double sum = 0;
    for (auto const* it : {"get", "put", "delete", "list", "watch", "hosts"}) {
        sum += counters->at(it).to_number<double>();
    }
    return sum;
}

// Slope of the line of least squares.
double slope_of(std::vector<std::pair<double, double>> const& points)
{
    double x = 0;
    double y = 0;
    for (auto const& it : points) {
        x += it.first / static_cast<double>(points.size());
        y += it.second / static_cast<double>(points.size());
    }
    double above = 0;
    double below = 0;
    for (auto const& it : points) {
        above += (it.first - x) * (it.second - y);
        below += (it.first - x) * (it.first - x);
    }
    return above / below;
}

// Hosts in up to three data centres: each data centre with upstreams needs a
// host.
std::unique_ptr<fleet> idle_fleet(std::uint32_t hosts)
{
    auto options = small_fleet();
    options.services = 6;
    options.hosts = hosts;
    if (hosts < options.data_centres.size()) {
        options.data_centres.resize(hosts);
    }
    return std::make_unique<fleet>(options);
}

} // namespace

result run_config()
{
    constexpr std::uint64_t tickets = 30;
    auto options = small_fleet();
    options.hosts = 7;
    fleet f(options);
    ticket_watch const watch(f.operator_ports());
    std::vector<double> in_force;
    double double_accepts = 0;
    double accepted = 0;
    std::uint64_t number = 1;
    for (std::uint64_t i = 0; i < tickets; ++i) {
        // The answer to the write of every third ticket is lost.
        f.control_platform(i % 3 == 2 ? R"({"lose_answers": 1})"
                                      : R"({"lose_answers": 0})");
        ++number;
        auto const raced = race(f, number);
        double_accepts += raced.accepts > 1 ? 1 : 0;
        accepted += raced.accepts > 0 ? 1 : 0;
        if (!wait_until(
                [&] { return watch.in_force_at(number).has_value(); })) {
            throw std::runtime_error("a ticket did not come into force");
        }
        // From the start of the submission, which is before the acceptance.
        in_force.push_back(
            seconds_since(raced.start, *watch.in_force_at(number)));
    }
    return {{"main",
             {{"tickets", static_cast<double>(tickets)},
              {"accepted", accepted},
              {"in_force_p50_s", quantile(in_force, 0.5)},
              {"in_force_p99_s", quantile(in_force, 0.99)},
              {"reverts", static_cast<double>(watch.reverts())},
              {"double_accepts", double_accepts}}}};
}

result run_outage()
{
    constexpr std::size_t replaced = 1;
    constexpr std::uint32_t count = 400; // 10 s at the rate
    fleet f(small_fleet());
    ticket_watch const watch(f.operator_ports());
    f.control_platform(R"({"down": true})");
    answer_counts answers;

    background_load first(targets_but(f, f.hosts()[replaced].name, ""), count);
    auto const ready_s = replace_host(f, replaced);
    answers.add(first.wait());
    auto const failed_replacing = answers.failed;

    std::string const cut_off = "gampaha";
    background_load second(targets_but(f, "", cut_off), count);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    signal_data_centre(f, cut_off, SIGSTOP);
    std::this_thread::sleep_for(std::chrono::seconds(6));
    signal_data_centre(f, cut_off, SIGCONT);
    answers.add(second.wait());
    auto const failed_cut_off = answers.failed - failed_replacing;

    background_load third(targets_but(f, "", ""), count / 4);
    answers.add(third.wait());
    return {{"main",
             {{"queries", answers.queries},
              {"failed", answers.failed},
              {"failed_replacing", failed_replacing},
              {"failed_cut_off", failed_cut_off},
              {"incomplete", answers.incomplete},
              {"reverts", static_cast<double>(watch.reverts())},
              {"ready_s", ready_s}}}};
}

result run_platform()
{
    constexpr std::array<std::uint32_t, 4> sizes{2, 6, 12, 24};
    // One watch of each reader ends in this time.
    constexpr auto window = std::chrono::seconds(30);
    std::vector<std::unique_ptr<fleet>> fleets;
    fleets.reserve(sizes.size());
    for (auto const it : sizes) {
        fleets.push_back(idle_fleet(it));
    }
    std::vector<double> before;
    before.reserve(sizes.size());
    for (auto const& it : fleets) {
        before.push_back(calls_of(*it));
    }
    auto const start = clock_type::now();
    std::this_thread::sleep_for(window);
    result out;
    std::vector<std::pair<double, double>> points;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        auto const calls = calls_of(*fleets[i]) - before[i];
        auto const rate = calls / seconds_since(start, clock_type::now());
        points.emplace_back(sizes[i], rate);
        out["hosts_" + std::to_string(sizes[i])] = {{"calls_per_s", rate}};
    }
    out["slope"] = {{"calls_per_s_per_host", slope_of(points)}};
    return out;
}

} // namespace measure
