#include "query_world.hpp"

#include "core/query/record_order.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace snipemill {

namespace {

void put(std::map<std::string, config_object>& objects, config_object object)
{
    auto const key = object_key(object);
    objects[key] = std::move(object);
}

std::string padded(std::uint32_t n)
{
    auto const digits = std::to_string(1000 + n);
    return digits.substr(1);
}

} // namespace

query_world::query_world(world_settings const& s)
    : settings(s), engine(s.engine, s.lane, s.lanes, s.seed)
{
    put(objects, s.group);
    for (std::uint32_t d = 0; d < s.data_centres; ++d) {
        auto const dc = "dc" + std::to_string(d);
        put(objects, data_centre_object{.name = dc, .region = "here"});
        for (std::uint32_t h = 0; h < s.hosts; ++h) {
            hosts.push_back(
                {.id = host_id(dc + "-host" + padded(h)), .data_centre = dc});
        }
    }
    for (std::uint32_t i = 0; i < s.services; ++i) {
        auto const name = "shard" + padded(i);
        put(objects, service_object{.name = name, .group = s.group.name});
        for (std::uint32_t r = 0; r < s.replicas; ++r) {
            put(objects,
                upstream_object{.id = id(i, r),
                                .name = name + "-" + std::to_string(r),
                                .service = name,
                                .data_centre =
                                    "dc" + std::to_string(r % s.data_centres)});
            held[id(i, r)] = {index_version(7)};
        }
    }
    publish();
}

void query_world::publish()
{
    auto const config = topology::build(++sequence, objects);
    routing_view it{.sequence = sequence,
                    .self = hosts.front().id,
                    .config = config,
                    .owners = owner_table::compute(*config, hosts)};
    view = std::make_shared<routing_view const>(std::move(it));
    engine.on_view(now, view, actions);
}

upstream_object& query_world::upstream(upstream_id u)
{
    auto const it =
        std::find_if(objects.begin(), objects.end(), [&](auto const& entry) {
            auto const* up = std::get_if<upstream_object>(&entry.second);
            return up != nullptr && up->id == u;
        });
    CHECK(it != objects.end());
    return std::get<upstream_object>(it->second);
}

void query_world::describe_all()
{
    for (auto const& sent : take<send_describe>()) {
        engine.on_described(now, sent.to, description(sent.request), actions);
    }
}

std::vector<send_batch> query_world::open_query(caller_handle caller,
                                                caller_query query)
{
    query.group = settings.group.name;
    engine.on_query(now, caller, std::move(query), actions);
    describe_all();
    return take<send_batch>();
}

target_result query_world::merged(upstream_id u) const
{
    target_result it{.upstream = u,
                     .outcome = sub_outcome::merged,
                     .condition = upstream_condition::warm,
                     .partition_count = partition_count(),
                     .held = held.at(u),
                     .latency = from_ms(3)};
    for (std::uint32_t i = 0; i < settings.partitions; ++i) {
        auto const p = service_of(u) * settings.partitions + i;
        it.partitions.push_back(
            {.id = partition_id(p), .documents = 10, .matches = 3});
    }
    return it;
}

target_result query_world::failed(upstream_id u, sub_outcome outcome) const
{
    return {.upstream = u,
            .outcome = outcome,
            .condition = upstream_condition::warm,
            .held = held.at(u)};
}

std::vector<record> query_world::records(upstream_id u,
                                         index_version version) const
{
    std::vector<record> out;
    for (auto const& it : merged(u).partitions) {
        for (std::uint32_t i = 0; i < 3; ++i) {
            auto const p = it.id.value;
            out.push_back({.key = "p" + padded(p) + "-" + std::to_string(i),
                           .rank = 10.0 * i + p,
                           .partition = it.id,
                           .body = std::to_string(version.value)});
        }
    }
    return out;
}

query_part query_world::part(query_batch const& batch,
                             std::vector<upstream_id> const& targets,
                             bool final) const
{
    query_part it{.id = batch.id, .version = batch.version, .final = final};
    for (auto const u : targets) {
        auto const& versions = held.at(u);
        auto const here = std::find(versions.begin(), versions.end(),
                                    batch.version) != versions.end();
        if (!here) {
            it.results.push_back(failed(u, sub_outcome::version_gone));
            continue;
        }
        it.results.push_back(merged(u));
        auto more = records(u, batch.version);
        it.records.insert(it.records.end(), more.begin(), more.end());
    }
    std::sort(it.records.begin(), it.records.end(),
              [&](record const& a, record const& b) {
                  return ordered_before(a, b, batch.order);
              });
    it.records.resize(std::min<std::size_t>(it.records.size(), batch.limit));
    return it;
}

describe_answer query_world::description(describe_request const& request) const
{
    describe_answer out{.id = request.id};
    for (auto const u : request.targets) {
        upstream_description it{.upstream = u,
                                .condition = upstream_condition::warm};
        for (auto const version : held.at(u)) {
            it.held.push_back({.version = version,
                               .partition_count = partition_count(),
                               .partitions = merged(u).partitions});
        }
        out.upstreams.push_back(std::move(it));
    }
    return out;
}

void query_world::answer(send_batch const& sent)
{
    answer_part(sent.to, whole_part(sent.batch));
}

void query_world::answer_part(host_id const& from, query_part it)
{
    engine.on_part(now, from, std::move(it), actions);
}

void query_world::fail_targets(send_batch const& sent, sub_outcome outcome)
{
    query_part it{
        .id = sent.batch.id, .version = sent.batch.version, .final = true};
    for (auto const u : sent.batch.targets) {
        it.results.push_back(failed(u, outcome));
    }
    answer_part(sent.to, std::move(it));
}

void query_world::fail_stream(send_batch const& sent)
{
    engine.on_stream_failed(now, sent.to, sent.batch.id, errc::peer_unreachable,
                            actions);
}

void query_world::advance(duration d)
{
    auto const end = now + d;
    for (auto at = engine.next_timer(); at && *at <= end;
         at = engine.next_timer()) {
        now = std::max(now, *at);
        engine.on_timer(now, actions);
    }
    now = end;
}

query_answer query_world::take_answer()
{
    auto const results = take<answer_caller>();
    LONGS_EQUAL(1, results.size());
    auto const* it = std::get_if<query_answer>(&results.front().result);
    CHECK(it != nullptr);
    return *it;
}

failure query_world::take_failure()
{
    auto const results = take<answer_caller>();
    LONGS_EQUAL(1, results.size());
    auto const* it = std::get_if<failure>(&results.front().result);
    CHECK(it != nullptr);
    return *it;
}

} // namespace snipemill
