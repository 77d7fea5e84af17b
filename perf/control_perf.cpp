#include "adapters/codec/peer_codec.hpp"
#include "core/config/config_store.hpp"
#include "core/config/topology.hpp"
#include "core/membership/member_list.hpp"
#include "core/ownership/owner_table.hpp"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace {

using namespace snipemill;

// The target size.
constexpr std::uint32_t upstream_count = 2300;
constexpr std::uint32_t replicas = 2;
constexpr std::uint32_t data_centres = 6;
constexpr std::uint32_t target_hosts = 480;
constexpr std::uint32_t updates_per_message = 8;

std::string data_centre_name(std::uint32_t i)
{
    return "dc" + std::to_string(i % data_centres);
}

upstream_object make_upstream(std::uint32_t i)
{
    auto const service = i / replicas;
    return {.id = upstream_id(i),
            .name = "shard" + std::to_string(service) + "-" +
                    std::to_string(i % replicas),
            .service = "shard" + std::to_string(service),
            .data_centre = data_centre_name(service + i % replicas),
            .address = "10.0." + std::to_string(i / 250) + "." +
                       std::to_string(i % 250) + ":7001"};
}

config_snapshot make_state()
{
    config_snapshot state{.number = 1};
    auto const put = [&](config_object it) {
        auto key = object_key(it);
        state.objects[std::move(key)] = std::move(it);
    };
    for (std::uint32_t i = 0; i < data_centres; ++i) {
        put(data_centre_object{.name = data_centre_name(i),
                               .region = "region" + std::to_string(i % 2)});
    }
    put(group_object{.name = "orders"});
    for (std::uint32_t i = 0; i < upstream_count; ++i) {
        auto const u = make_upstream(i);
        put(service_object{.name = u.service, .group = "orders"});
        put(u);
    }
    return state;
}

std::vector<live_host> make_hosts(std::uint32_t n)
{
    std::vector<live_host> hosts;
    for (std::uint32_t i = 0; i < n; ++i) {
        hosts.push_back({.id = host_id("host" + std::to_string(i)),
                         .data_centre = data_centre_name(i),
                         .ip = "10.1.0.1",
                         .peer_port = 7003});
    }
    return hosts;
}

// Bytes allocated at present, in arenas and in mappings of their own.
std::size_t allocated_bytes()
{
    auto const m = mallinfo2();
    return m.uordblks + m.hblkhd;
}

// Sets the counter "bytes" to what the object made by make() takes and
// returns it.
template <class Make>
auto count_bytes(benchmark::State& state, Make const& make)
{
    auto const before = allocated_bytes();
    auto out = make();
    auto const after = allocated_bytes();
    state.counters["bytes"] = static_cast<double>(after - before);
    return out;
}

// Owner table of all upstreams, on all cores. The processor time is that of
// all threads.
void owner_table_compute(benchmark::State& state)
{
    auto const view = topology::build(1, make_state().objects);
    auto const hosts = make_hosts(static_cast<std::uint32_t>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(owner_table::compute(*view, hosts));
    }
    auto const table =
        count_bytes(state, [&] { return owner_table::compute(*view, hosts); });
}
BENCHMARK(owner_table_compute)
    ->Arg(16)
    ->Arg(120)
    ->Arg(target_hosts)
    ->MeasureProcessCPUTime()
    ->UseRealTime();

void topology_build(benchmark::State& state)
{
    auto const objects = make_state().objects;
    for (auto _ : state) {
        benchmark::DoNotOptimize(topology::build(1, objects));
    }
    auto const view =
        count_bytes(state, [&] { return topology::build(1, objects); });
}
BENCHMARK(topology_build);

// A ticket with one object, as it arrives from a peer.
void config_adopt_one_object(benchmark::State& state)
{
    auto const store = count_bytes(state, [] {
        auto out = std::make_unique<config_store>();
        out->adopt(make_state());
        return out;
    });
    std::uint64_t number = 1;
    for (auto _ : state) {
        auto upstream = make_upstream(number % upstream_count);
        upstream.state = upstream_state::leaving;
        ++number;
        std::vector<ticket> const tickets{{.number = number,
                                           .author = "operator",
                                           .reason = "replace a server",
                                           .nonce = "nonce",
                                           .objects = {upstream}}};
        benchmark::DoNotOptimize(store->adopt(tickets));
    }
    if (store->number() != number) {
        state.SkipWithError("a ticket was not adopted");
    }
}
BENCHMARK(config_adopt_one_object);

// A member list whose members all answer its probes and probe it in turn.
class answering_fleet
{
public:
    explicit answering_fleet(std::uint32_t n)
    {
        for (std::uint32_t i = 0; i < n; ++i) {
            members_.push_back({.id = host_id("host" + std::to_string(i)),
                                .data_centre = data_centre_name(i),
                                .ip = "10.1.0.1",
                                .peer_port = static_cast<std::uint16_t>(1 + i),
                                .operator_port = 7002,
                                .incarnation = 1});
        }
        list_ = std::make_unique<member_list>(member_list_settings{},
                                              members_.front(), 1);
        for (std::uint32_t i = 1; i < n; i += updates_per_message) {
            receive(probe_kind::probe, 0, members_[1], i, 0);
        }
        out_.clear();
    }

    std::size_t known() const { return list_->members().size(); }

    // One probe interval: a probe of a member with updates arrives, and the
    // list's own probe is answered with updates.
    void run_interval()
    {
        auto const end = now_ + member_list_settings{}.probe_interval;
        receive(probe_kind::probe, 1, any_member(), next_, 1);
        advance_updates();
        while (list_->next_timer() < end) {
            now_ = std::max(now_, list_->next_timer());
            list_->on_timer(now_, out_);
            answer_probes();
        }
        now_ = end;
        out_.clear();
    }

    member_counters const& counters() const { return list_->counters(); }

private:
    member_info const& any_member() const
    {
        return members_[1 + next_ % (members_.size() - 1)];
    }

    void advance_updates() { next_ += updates_per_message; }

    // A message with updates about the members from position first on. News
    // of a member raise its incarnation.
    void receive(probe_kind kind, std::uint64_t sequence,
                 member_info const& from, std::uint32_t first,
                 std::uint64_t raise)
    {
        probe_message m{.kind = kind, .sequence = sequence, .from = from};
        for (std::uint32_t i = 0; i < updates_per_message; ++i) {
            auto& news = members_[1 + (first + i) % (members_.size() - 1)];
            news.incarnation += raise;
            m.updates.push_back(news);
        }
        list_->on_message(now_, m, out_);
    }

    void answer_probes()
    {
        auto const actions = std::exchange(out_, {});
        for (auto const& it : actions) {
            auto const* sent = std::get_if<send_probe>(&it);
            if (sent == nullptr || sent->message.kind != probe_kind::probe) {
                continue;
            }
            receive(probe_kind::ack, sent->message.sequence,
                    members_[sent->port - 1U], next_, 1);
            advance_updates();
        }
    }

    std::vector<member_info> members_; // by peer port, the first is the list's
    std::unique_ptr<member_list> list_;
    member_actions out_;
    time_point now_{from_ms(1000)};
    std::uint32_t next_ = 0;
};

// One interval of a member list, in which 16 members changed. The bytes
// include the copy of the members that the benchmark keeps.
void member_list_interval(benchmark::State& state)
{
    auto const n = static_cast<std::uint32_t>(state.range(0));
    auto const fleet = count_bytes(
        state, [n] { return std::make_unique<answering_fleet>(n); });
    if (fleet->known() != n - 1) {
        state.SkipWithError("the list does not know all members");
    }
    for (auto _ : state) {
        fleet->run_interval();
    }
    auto const& counters = fleet->counters();
    auto const intervals = static_cast<std::uint64_t>(state.iterations());
    if (counters.probes_sent < intervals || counters.suspected != 0) {
        state.SkipWithError("a probe was not sent or not answered");
    }
}
BENCHMARK(member_list_interval)->Arg(16)->Arg(120)->Arg(target_hosts);

probe_packet full_probe()
{
    probe_packet out;
    auto& m = out.message;
    m.from = {.id = host_id("entry-host-001"),
              .data_centre = "dc0",
              .ip = "10.1.0.1",
              .peer_port = 7003,
              .operator_port = 7002,
              .incarnation = 1'700'000'000'000};
    m.updates.assign(updates_per_message, m.from);
    return out;
}

// Two probes and their two answers each interval: the codec's time for one.
void codec_probe(benchmark::State& state)
{
    auto const packet = full_probe();
    time_point const now{from_ms(1000)};
    for (auto _ : state) {
        auto const bytes = encode(now, packet);
        benchmark::DoNotOptimize(decode_probe(now, bytes));
    }
    state.counters["bytes"] = static_cast<double>(encode(now, packet).size());
}
BENCHMARK(codec_probe);

constexpr std::uint32_t batch_targets = 5;
constexpr std::uint32_t batch_records = 20;
constexpr hybrid_time stamp{.wall = 1'700'000'000'000'000, .counter = 3};

query_batch make_batch()
{
    query_batch out{.id = request_id(1'000'001),
                    .group = "orders",
                    .version = index_version(7),
                    .remaining = from_ms(60),
                    .flush_after = from_ms(40),
                    .body = std::string(200, 'x'),
                    .limit = batch_records,
                    .priority = 100,
                    .print = fingerprint(0x0123456789abcdef)};
    for (std::uint32_t i = 0; i < batch_targets; ++i) {
        out.targets.push_back(upstream_id(400 * i));
    }
    return out;
}

query_part make_part()
{
    query_part out{.id = request_id(1'000'001),
                   .version = index_version(7),
                   .final = true};
    for (std::uint32_t i = 0; i < batch_targets; ++i) {
        out.results.push_back({.upstream = upstream_id(400 * i),
                               .outcome = sub_outcome::merged,
                               .condition = upstream_condition::warm,
                               .partition_count = 1200,
                               .partitions = {{.id = partition_id(200 * i),
                                               .documents = 50'000,
                                               .matches = 7}},
                               .held = {index_version(6), index_version(7)},
                               .latency = from_ms(4)});
    }
    for (std::uint32_t i = 0; i < batch_records; ++i) {
        out.records.push_back({.key = "order-" + std::to_string(100'000 + i),
                               .rank = i * 1.5,
                               .partition = partition_id(200 * (i % 5)),
                               .body = std::string(60, 'b')});
    }
    return out;
}

template <class Message>
void encode_message(benchmark::State& state, Message const& message)
{
    for (auto _ : state) {
        benchmark::DoNotOptimize(encode(stamp, message));
    }
    state.counters["bytes"] =
        static_cast<double>(encode(stamp, message).size());
}

template <class Decode>
void decode_message(benchmark::State& state, std::string const& bytes,
                    Decode const& decode)
{
    if (!decode(bytes)) {
        state.SkipWithError("the message cannot be decoded");
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(decode(bytes));
    }
}

void codec_encode_batch(benchmark::State& state)
{
    encode_message(state, make_batch());
}
BENCHMARK(codec_encode_batch);

void codec_decode_batch(benchmark::State& state)
{
    decode_message(state, encode(stamp, make_batch()), decode_query_batch);
}
BENCHMARK(codec_decode_batch);

void codec_encode_part(benchmark::State& state)
{
    encode_message(state, make_part());
}
BENCHMARK(codec_encode_part);

void codec_decode_part(benchmark::State& state)
{
    decode_message(state, encode(stamp, make_part()), decode_query_part);
}
BENCHMARK(codec_decode_part);

} // namespace
