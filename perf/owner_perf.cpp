#include "core/owner/owner_engine.hpp"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace snipemill;

constexpr std::uint32_t batch_targets = 5;
constexpr std::uint32_t partitions_per_answer = 4;
constexpr std::uint32_t records_per_answer = 20;

std::shared_ptr<routing_view const> view_with(std::uint32_t upstreams)
{
    std::map<std::string, config_object> all;
    auto const put = [&](config_object const& o) { all[object_key(o)] = o; };
    put(data_centre_object{"colombo", "western-province"});
    put(group_object{.name = "stores-desk"});
    for (std::uint32_t i = 1; i <= upstreams; ++i) {
        auto const name = "depot-" + std::to_string(i);
        put(service_object{
            .name = name, .group = "stores-desk", .slots = 1000});
        put(upstream_object{.id = upstream_id(i),
                            .name = name + "-a",
                            .service = name,
                            .data_centre = "colombo",
                            .address = "127.0.0.1:7001"});
    }
    auto view = std::make_shared<routing_view>();
    view->self = host_id("a");
    view->config = topology::build(1, all);
    view->owners = owner_table::compute(
        *view->config, {{.id = host_id("a"), .data_centre = "colombo"}});
    return view;
}

query_batch five_targets()
{
    query_batch b{.id = request_id(1),
                  .group = "stores-desk",
                  .version = index_version(7),
                  .remaining = from_ms(60),
                  .flush_after = from_ms(40),
                  .body = std::string(200, 'x'),
                  .limit = records_per_answer};
    for (std::uint32_t i = 1; i <= batch_targets; ++i) {
        b.targets.push_back(upstream_id(i));
    }
    return b;
}

sub_answer answer_of(std::uint32_t upstream)
{
    sub_answer a{.version = index_version(7), .partition_count = 1000};
    for (std::uint32_t i = 0; i < partitions_per_answer; ++i) {
        a.partitions.push_back(
            {.id = partition_id(upstream * partitions_per_answer + i),
             .documents = 100,
             .matches = 5});
    }
    for (std::uint32_t i = 0; i < records_per_answer; ++i) {
        a.records.push_back({.key = "order-" + std::to_string(upstream) + "-" +
                                    std::to_string(i),
                             .rank = i * 10.0 + upstream,
                             .partition = a.partitions[i % 4].id,
                             .body = std::string(60, 'b')});
    }
    return a;
}

// An engine whose upstreams are warm, with the number of batches in flight
// that a lane has at the target size.
class warm_owner
{
public:
    warm_owner() : engine_({.ramp = false}, 0, 1, 1)
    {
        engine_.on_view(now_, view_with(batch_targets), out_);
        out_.clear();
    }

    void run_batch(query_batch batch, std::vector<sub_answer> answers)
    {
        now_ += duration(20);
        engine_.on_batch(now_, ++peer_, std::move(batch), out_);
        dispatched_.clear();
        for (auto const& it : out_) {
            if (auto const* d = std::get_if<dispatch_query>(&it)) {
                dispatched_.push_back(d->handle);
            }
        }
        out_.clear();
        now_ += duration(500);
        for (std::size_t i = 0; i < dispatched_.size(); ++i) {
            engine_.on_sub_answer(now_, dispatched_[i], std::move(answers[i]),
                                  out_);
        }
        benchmark::DoNotOptimize(engine_.next_timer());
        out_.clear();
    }

    owner_counters const& counters() const { return engine_.counters(); }

private:
    owner_engine engine_;
    time_point now_{from_ms(1000)};
    owner_actions out_;
    peer_handle peer_ = 0;
    std::vector<slot_handle> dispatched_;
};

// Time per sub-request of a batch of 5 targets through the owner engine:
// admission, dispatch, check of the answer, merge and part. Making the inputs
// is left out of the time.
void owner_batch_of_five(benchmark::State& state)
{
    warm_owner owner;
    auto const batch = five_targets();
    std::vector<sub_answer> answers;
    for (std::uint32_t i = 1; i <= batch_targets; ++i) {
        answers.push_back(answer_of(i));
    }
    constexpr int batches_per_round = 64;
    std::vector<query_batch> batches;
    std::vector<std::vector<sub_answer>> inputs;
    for (auto _ : state) {
        state.PauseTiming();
        batches.assign(batches_per_round, batch);
        inputs.assign(batches_per_round, answers);
        state.ResumeTiming();
        for (int i = 0; i < batches_per_round; ++i) {
            owner.run_batch(std::move(batches[i]), std::move(inputs[i]));
        }
    }
    if (owner.counters().answered != owner.counters().dispatched) {
        state.SkipWithError("a sub-request was not answered");
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()) *
                            batches_per_round * batch_targets);
}
BENCHMARK(owner_batch_of_five);

// Memory that the engine takes for each upstream that it gains; the time is
// that of the view.
void owner_memory_per_upstream(benchmark::State& state)
{
    auto const n = static_cast<std::uint32_t>(state.range(0));
    auto const view = view_with(n);
    double bytes = 0;
    for (auto _ : state) {
        state.PauseTiming();
        auto engine =
            std::make_unique<owner_engine>(owner_engine_settings{}, 0, 1, 1);
        auto const before = mallinfo2().uordblks;
        state.ResumeTiming();
        {
            owner_actions out;
            engine->on_view(time_point(from_ms(1000)), view, out);
        }
        state.PauseTiming();
        bytes = static_cast<double>(mallinfo2().uordblks - before) / n;
        engine.reset();
        state.ResumeTiming();
    }
    state.counters["bytes_per_upstream"] = bytes;
}
BENCHMARK(owner_memory_per_upstream)->Arg(2300);

} // namespace
