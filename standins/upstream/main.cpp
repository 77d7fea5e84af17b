#include "common/program.hpp"
#include "upstream/upstream.hpp"

#include <cxxopts.hpp>

#include <exception>
#include <iostream>

namespace {

struct program_settings
{
    standin::upstream_settings first;
    std::vector<std::uint64_t> versions; // empty: those of first
    std::uint32_t count = 1;
    std::uint32_t replicas = 1;
    std::size_t threads = 1;
};

void add_load_options(cxxopts::Options& options, standin::upstream_settings& s)
{
    using cxxopts::value;
    auto add = options.add_options("load");
    add("slots", "requests that run at the same time", value(s.slots));
    add("queue", "requests that wait for a slot", value(s.queue));
    add("connections", "cap of connections", value(s.connections));
    add("connect-ms", "delay of a new connection", value(s.connect_ms));
    add("latency-ms", "median service time", value(s.latency_ms));
    add("latency-sigma", "spread, log-normal", value(s.latency_sigma));
    add("straggle-one-in", "one request in N is slow, 0: none",
        value(s.straggle_one_in));
    add("straggle-factor", "how much slower", value(s.straggle_factor));
    add("cold-ms", "work until warm after a start", value(s.cold_ms));
    add("cold-factor", "slower while cold", value(s.cold_factor));
    add("cold-limit", "concurrent while cold, more collapse it",
        value(s.cold_limit));
    add("collapse-at", "concurrent while warm, more collapse it, 0: never",
        value(s.collapse_at));
    add("collapse-ms", "refusals after a collapse", value(s.collapse_ms));
    add("status-lag-ms", "age of /status", value(s.status_lag_ms));
    add("restart-ms", "time away after a crash", value(s.restart_ms));
    add("seed", "of the service times", value(s.seed));
}

void add_data_options(cxxopts::Options& options, program_settings& p)
{
    using cxxopts::value;
    auto& s = p.first;
    auto add = options.add_options("data");
    add("port", "first port, 0: free ports", value(s.port));
    add("count", "upstreams, on consecutive ports", value(p.count));
    add("replicas", "consecutive upstreams of the same service",
        value(p.replicas));
    add("threads", "threads for the upstreams", value(p.threads));
    add("services", "services of the group", value(s.services));
    add("service", "service of the first upstream", value(s.service));
    add("partitions", "partitions of a version", value(s.partitions));
    add("records-per-partition", "records of a partition",
        value(s.records_per_partition));
    add("versions", "versions held", value(p.versions));
    add("help", "print this text");
}

standin::upstream_settings settings_of(program_settings const& p,
                                       std::uint32_t i)
{
    auto s = p.first;
    s.port = s.port == 0 ? s.port : static_cast<std::uint16_t>(s.port + i);
    s.service = (s.service + i / p.replicas) % s.services;
    s.seed += i;
    return s;
}

int run(int argc, char** argv)
{
    cxxopts::Options options("standin-upstream", "Stand-in for upstreams");
    program_settings p;
    add_load_options(options, p.first);
    add_data_options(options, p);
    if (options.parse(argc, argv).count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    if (!p.versions.empty()) {
        p.first.versions = p.versions;
    }
    if (p.first.services == 0 || p.replicas == 0 || p.threads == 0 ||
        p.first.records_per_partition == 0) {
        throw std::invalid_argument("services, replicas, threads and records "
                                    "must be at least 1");
    }
    std::vector<std::unique_ptr<boost::asio::io_context>> contexts;
    for (std::size_t i = 0; i < p.threads; ++i) {
        contexts.push_back(std::make_unique<boost::asio::io_context>(1));
    }
    auto const started = standin::clock_type::now();
    std::vector<std::unique_ptr<standin::upstream>> upstreams;
    for (std::uint32_t i = 0; i < p.count; ++i) {
        upstreams.push_back(std::make_unique<standin::upstream>(
            *contexts[i % p.threads], settings_of(p, i), started));
        standin::announce(upstreams.back()->port());
    }
    standin::run_until_signal(contexts);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    }
    catch (std::exception const& e) {
        std::cerr << "standin-upstream: " << e.what() << '\n';
        return 1;
    }
}
