#include "core/forward/upstream_fleet.hpp"

#include <benchmark/benchmark.h>

#include <string>

namespace {

using namespace snipemill;

// One choice between the replicas of a service in three data centres.
// range(0): replicas; range(1): whether they report their speed.
void choose(benchmark::State& state)
{
    time_point now{from_ms(100'000)};
    upstream_fleet fleet({.data_centre = "a"}, 1);
    std::vector<upstream_record> records;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        records.push_back({.instance = "u" + std::to_string(i),
                           .service = "s",
                           .data_centre = std::string(1, "abc"[i % 3]),
                           .slots = 2});
    }
    fleet.update(records, {}, now);
    std::uint32_t n = 0;
    for (auto const& it : fleet.all()) {
        reported_load load{.running = n % 3, .waiting = n % 2, .slots = 2};
        if (state.range(1) != 0) {
            load.speed = 1 + n % 4 * 0.5;
        }
        fleet.on_answer(*it, {.load = load}, now, now);
        ++n;
    }
    std::string const service = "s";
    request_cost const cost{.own = {.mean = 20, .tail = 30}, .mean_there = 20};
    now += from_ms(20);
    for (auto _ : state) {
        choice_failure why{};
        benchmark::DoNotOptimize(fleet.choose(
            {.service = &service, .now = now, .cost = &cost}, why));
    }
}
BENCHMARK(choose)
    ->ArgNames({"replicas", "speeds"})
    ->ArgsProduct({{3, 30, 300}, {0, 1}});

// The estimate of the work of a request, which a choice needs besides.
void expect_cost(benchmark::State& state)
{
    cost_estimate costs;
    cost_key const key{
        .route = "orders", .account = "account-17", .service = "shard-042"};
    for (int i = 0; i < 100; ++i) {
        costs.add(key, 20);
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(costs.expect(key));
    }
}
BENCHMARK(expect_cost);

} // namespace
