#include "core/query/coverage_counter.hpp"
#include "core/query/query_engine.hpp"
#include "core/query/record_merger.hpp"

#include <benchmark/benchmark.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace snipemill;

// The target size: 1,200 services with two replicas on 250 owner hosts.
constexpr std::uint32_t services = 1200;
constexpr std::uint32_t replicas = 2;
constexpr std::uint32_t host_count = 250;
constexpr std::uint32_t limit = 20;

std::shared_ptr<routing_view const> make_view()
{
    std::map<std::string, config_object> objects;
    auto const put = [&](config_object it) {
        auto const key = object_key(it);
        objects[key] = std::move(it);
    };
    put(data_centre_object{.name = "dc"});
    put(group_object{.name = "orders"});
    for (std::uint32_t s = 0; s < services; ++s) {
        auto const name = "shard" + std::to_string(s);
        put(service_object{.name = name, .group = "orders"});
        for (std::uint32_t r = 0; r < replicas; ++r) {
            put(upstream_object{.id = upstream_id(s * replicas + r),
                                .name = name + "-" + std::to_string(r),
                                .service = name,
                                .data_centre = "dc"});
        }
    }
    std::vector<live_host> hosts;
    for (std::uint32_t h = 0; h < host_count; ++h) {
        hosts.push_back(
            {.id = host_id("host" + std::to_string(h)), .data_centre = "dc"});
    }
    auto const config = topology::build(1, objects);
    return std::make_shared<routing_view const>(
        routing_view{.sequence = 1,
                     .self = hosts.front().id,
                     .config = config,
                     .owners = owner_table::compute(*config, hosts)});
}

partition_id partition_of(upstream_id u)
{
    return partition_id(u.value / replicas);
}

// What an owner sends: its targets' results and the first records of them.
query_part make_part(query_batch const& batch)
{
    query_part part{.id = batch.id, .version = batch.version, .final = true};
    for (auto const u : batch.targets) {
        part.results.push_back(
            {.upstream = u,
             .outcome = sub_outcome::merged,
             .condition = upstream_condition::warm,
             .partition_count = services,
             .partitions = {{.id = partition_of(u), .matches = 7}},
             .held = {batch.version},
             .latency = from_ms(4)});
    }
    for (std::uint32_t i = 0; i < limit; ++i) {
        auto const u = batch.targets[i % batch.targets.size()];
        auto const rank = i * services + partition_of(u).value;
        part.records.push_back({.key = "order-" + std::to_string(rank),
                                .rank = static_cast<double>(rank),
                                .partition = partition_of(u),
                                .body = R"({"depot":"Kelaniya"})"});
    }
    return part;
}

describe_answer describe(describe_request const& request)
{
    describe_answer out{.id = request.id};
    for (auto const u : request.targets) {
        out.upstreams.push_back(
            {.upstream = u,
             .condition = upstream_condition::warm,
             .held = {{.version = index_version(7),
                       .partition_count = services,
                       .partitions = {{.id = partition_of(u)}}}}});
    }
    return out;
}

struct warm_engine
{
    warm_engine() : engine({}, 0, 1, 1)
    {
        engine.on_view(now, make_view(), actions);
        open();
        auto const asked = std::exchange(actions, {});
        for (auto const& it : asked) {
            auto const& sent = std::get<send_describe>(it);
            engine.on_described(now, sent.to, describe(sent.request), actions);
        }
        answer();
    }
    void open()
    {
        caller_query query{.group = "orders", .limit = limit};
        engine.on_query(now, ++caller, std::move(query), actions);
    }
    std::vector<std::pair<host_id, query_part>> take_parts()
    {
        std::vector<std::pair<host_id, query_part>> parts;
        for (auto const& it : actions) {
            if (auto const* sent = std::get_if<send_batch>(&it)) {
                parts.emplace_back(sent->to, make_part(sent->batch));
            }
        }
        actions.clear();
        return parts;
    }
    void answer()
    {
        for (auto& [from, part] : take_parts()) {
            engine.on_part(now, from, std::move(part), actions);
        }
        actions.clear();
    }

    query_engine engine;
    query_actions actions;
    time_point now{from_ms(1000)};
    caller_handle caller = 0;
};

void set_counters(benchmark::State& state, std::size_t messages)
{
    using benchmark::Counter;
    auto const n = static_cast<double>(state.iterations());
    state.counters["messages"] = static_cast<double>(messages) / n;
    state.counters["per_sub_request"] =
        Counter(n * services, Counter::kIsRate | Counter::kInvert);
}

// Snapshot, replica choice and batching of one query.
void route_query(benchmark::State& state)
{
    warm_engine w;
    std::size_t messages = 0;
    for (auto _ : state) {
        w.open();
        state.PauseTiming();
        messages += w.actions.size();
        w.answer();
        state.ResumeTiming();
    }
    set_counters(state, messages);
}
BENCHMARK(route_query)->Unit(benchmark::kMicrosecond);

// All parts of one query, to the answer.
void merge_query(benchmark::State& state)
{
    warm_engine w;
    std::size_t messages = 0;
    for (auto _ : state) {
        state.PauseTiming();
        w.open();
        auto parts = w.take_parts();
        messages += parts.size();
        state.ResumeTiming();
        for (auto& [from, part] : parts) {
            w.engine.on_part(w.now, from, std::move(part), w.actions);
        }
        w.actions.clear();
    }
    set_counters(state, messages);
}
BENCHMARK(merge_query)->Unit(benchmark::kMicrosecond);

// Coverage of one query, without the rest of a part.
void count_coverage(benchmark::State& state)
{
    std::vector<target_result> results;
    for (std::uint32_t p = 0; p < services; ++p) {
        results.push_back({.outcome = sub_outcome::merged,
                           .partition_count = services,
                           .partitions = {{.id = partition_id(p)}}});
    }
    coverage_counter counter;
    for (auto _ : state) {
        counter.reset(services);
        for (auto const& it : results) {
            counter.add(it);
        }
        benchmark::DoNotOptimize(counter.fraction());
    }
    set_counters(state, 0);
}
BENCHMARK(count_coverage)->Unit(benchmark::kMicrosecond);

} // namespace
