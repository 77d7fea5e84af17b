#include "measure/measure.hpp"
#include "testbed/fleet.hpp"

#include <boost/asio/io_context.hpp>

#include <array>
#include <memory>
#include <string>
#include <thread>

namespace measure {

namespace {

using namespace testbed;

std::string const query_body =
    R"({"group":"stores-desk","query":{},"limit":20,"order":"desc"})";

double sub_requests(std::vector<query_sample> const& samples)
{
    double sum = 0;
    for (auto const& it : samples) {
        sum += it.sub_requests;
    }
    return sum;
}

double hedges(std::vector<query_sample> const& samples)
{
    double sum = 0;
    for (auto const& it : samples) {
        sum += it.hedges;
    }
    return sum;
}

double coverage_mean(std::vector<query_sample> const& samples)
{
    double sum = 0;
    for (auto const& it : samples) {
        sum += it.coverage.value_or(0);
    }
    return samples.empty() ? 0 : sum / static_cast<double>(samples.size());
}

// Answers whose stated coverage does not fit their records: with coverage 1
// all records of the index match, with less some must be missing.
double coverage_wrong(std::vector<query_sample> const& samples,
                      std::uint64_t all)
{
    double n = 0;
    for (auto const& it : samples) {
        auto const complete = it.coverage && *it.coverage == 1.0;
        n += it.status == 200 && complete != (it.total == all) ? 1 : 0;
    }
    return n;
}

double failed(std::vector<query_sample> const& samples)
{
    double n = 0;
    for (auto const& it : samples) {
        n += it.status != 200 ? 1 : 0;
    }
    return n;
}

void append(std::vector<query_sample>& to,
            std::vector<query_sample> const& from)
{
    to.insert(to.end(), from.begin(), from.end());
}

constexpr std::uint32_t partitions = 80;
constexpr std::uint32_t records_per_partition = 5;
constexpr std::uint64_t all_records = partitions * records_per_partition;

// 40 services of 2 replicas; 1 sub-answer in 100 takes 20 times as long.
fleet_options straggling(std::string const& group_settings)
{
    return {.hosts_per_data_centre = 2,
            .group_settings = group_settings,
            .services = 40,
            .upstream_arguments = {"--latency-ms", "4", "--straggle-one-in",
                                   "100", "--straggle-factor", "20",
                                   "--partitions", std::to_string(partitions),
                                   "--records-per-partition",
                                   std::to_string(records_per_partition)}};
}

figures summary(std::vector<query_sample> const& samples)
{
    auto const ms = latencies(samples);
    auto const extra = hedges(samples);
    return {{"p50_ms", quantile(ms, 0.5)},
            {"p99_ms", quantile(ms, 0.99)},
            {"extra_load", extra / (sub_requests(samples) - extra)},
            {"coverage_mean", coverage_mean(samples)},
            {"coverage_wrong", coverage_wrong(samples, all_records)},
            {"failed", failed(samples)},
            {"queries", static_cast<double>(samples.size())}};
}

} // namespace

result run_tail()
{
    constexpr int rounds = 4;
    std::string const common = "deadline_ms: 2000, ";
    fleet plain(straggling(common + "hedge_budget: 0, "));
    fleet hedged(straggling(common + "hedge_budget: 0.05, "
                                     "hedge_quantile: 0.95, "));
    load_options load{.body = query_body, .rate = 60, .count = 240};
    auto const run = [&](fleet& f) {
        load.targets = f.caller_targets();
        return run_load(load);
    };
    // Connections, limits and quantiles settle before the first figure.
    run(plain);
    run(hedged);
    std::vector<query_sample> plain_samples;
    std::vector<query_sample> hedged_samples;
    for (int i = 0; i < rounds; ++i) {
        append(plain_samples, run(plain));
        append(hedged_samples, run(hedged));
    }
    return {{"plain", summary(plain_samples)},
            {"hedged", summary(hedged_samples)}};
}

result run_repartition()
{
    fleet f({.services = 20,
             .upstream_arguments = {"--latency-ms", "2", "--versions", "1",
                                    "--partitions", std::to_string(partitions),
                                    "--records-per-partition",
                                    std::to_string(records_per_partition)}});
    std::uint64_t version = 1;
    std::chrono::milliseconds next{1000};
    load_options load{.targets = f.caller_targets(),
                      .body = R"({"group":"stores-desk","query":{},)"
                              R"("limit":400,"order":"asc"})",
                      .rate = 150,
                      .count = 5250};
    load.before = [&](std::uint32_t, std::chrono::milliseconds elapsed) {
        if (elapsed < next) {
            return;
        }
        next += std::chrono::milliseconds(1000);
        ++version;
        auto const body = "{\"versions\":[" + std::to_string(version - 1) +
                          "," + std::to_string(version) + "]}";
        f.control_upstreams(body);
    };
    auto const samples = run_load(load);
    double mixed = 0;
    double duplicates = 0;
    for (auto const& it : samples) {
        mixed += it.mixed ? 1 : 0;
        duplicates += it.duplicate ? 1 : 0;
    }
    return {{"main",
             {{"mixed_snapshots", mixed},
              {"duplicate_records", duplicates},
              {"coverage_wrong", coverage_wrong(samples, all_records)},
              {"coverage_mean", coverage_mean(samples)},
              {"failed", failed(samples)},
              {"p99_ms", quantile(latencies(samples), 0.99)},
              {"versions", static_cast<double>(version)},
              {"queries", static_cast<double>(samples.size())}}}};
}

namespace {

// A client that calls one replica of every service itself and waits for all
// answers.
std::vector<double> call_directly(fleet& f, std::uint32_t services, double rate,
                                  std::uint32_t count)
{
    using namespace snipemill;
    using steady = std::chrono::steady_clock;
    boost::asio::io_context io;
    std::vector<std::unique_ptr<http_client>> clients;
    for (std::uint32_t i = 0; i < services; ++i) {
        clients.push_back(std::make_unique<http_client>(
            io, http_client_options{.ip = "127.0.0.1",
                                    .port = f.upstream_ports()[i * 2],
                                    .max_connections = 2}));
    }
    http_request const request{
        .method = "POST",
        .target = "/search",
        .headers = {{"X-Request-Id", "1"},
                    {"X-Index-Version", "1"},
                    {"X-Deadline-Ms", "2000"}},
        .body = R"({"group":"stores-desk","query":{},"limit":20,)"
                R"("order":"desc"})"};
    std::vector<double> out;
    for (std::uint32_t i = 0; i < count; ++i) {
        auto const start = steady::now();
        auto missing = services;
        io.restart();
        for (auto& it : clients) {
            it->send(request, from_ms(2000), [&](http_result const&) {
                if (--missing == 0) {
                    io.stop();
                }
            });
        }
        io.run();
        std::chrono::duration<double, std::milli> const took =
            steady::now() - start;
        out.push_back(took.count());
        std::this_thread::sleep_until(
            start + std::chrono::duration<double>(1.0 / rate));
    }
    return out;
}

double host_cpu(fleet& f)
{
    double sum = 0;
    for (auto const& it : f.hosts()) {
        sum += usage_of(it.process->pid()).cpu_seconds;
    }
    return sum;
}

} // namespace

result run_overhead()
{
    constexpr std::uint32_t services = 20;
    constexpr std::uint32_t count = 300;
    constexpr double rate = 60;
    constexpr int rounds = 3;
    fleet f({.services = services,
             .upstream_arguments = {"--latency-ms", "2", "--partitions",
                                    std::to_string(partitions),
                                    "--records-per-partition",
                                    std::to_string(records_per_partition)}});
    load_options const load{.targets = f.caller_targets(),
                            .body = query_body,
                            .rate = rate,
                            .count = count};
    run_load(load);
    std::vector<query_sample> through;
    std::vector<double> direct;
    double cpu = 0;
    for (int i = 0; i < rounds; ++i) {
        auto const before = host_cpu(f);
        append(through, run_load(load));
        cpu += host_cpu(f) - before;
        auto const ms = call_directly(f, services, rate, count);
        direct.insert(direct.end(), ms.begin(), ms.end());
    }
    auto const ms = latencies(through);
    return {{"direct",
             {{"p50_ms", quantile(direct, 0.5)},
              {"p99_ms", quantile(direct, 0.99)}}},
            {"snipemill",
             {{"p50_ms", quantile(ms, 0.5)},
              {"p99_ms", quantile(ms, 0.99)},
              {"cpu_us_per_sub_request", cpu * 1e6 / sub_requests(through)},
              {"failed", failed(through)}}}};
}

} // namespace measure
