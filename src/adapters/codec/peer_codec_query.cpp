#include "adapters/codec/peer_codec_detail.hpp"

namespace snipemill {

using namespace peer_codec;

namespace {

// Records and partitions reserve their memory first: a part may carry
// thousands of them.
template <class Repeated>
void write_partitions(Repeated& out, std::vector<partition_part> const& parts)
{
    out.Reserve(static_cast<int>(parts.size()));
    for (auto const& it : parts) {
        auto& p = *out.Add();
        p.set_id(it.id.value);
        p.set_documents(it.documents);
        p.set_matches(it.matches);
    }
}

bool read_partition(wire::Partition const& m, partition_part& out)
{
    out = {partition_id(m.id()), m.documents(), m.matches()};
    return true;
}

void write_records(wire::QueryPart& out, std::vector<record> const& records)
{
    out.mutable_records()->Reserve(static_cast<int>(records.size()));
    for (auto const& it : records) {
        auto& r = *out.add_records();
        r.set_key(it.key);
        r.set_rank(it.rank);
        r.set_partition(it.partition.value);
        r.set_body(it.body);
    }
}

bool read_record(wire::Record const& m, record& out)
{
    // A rank that is not a number has no place in the order of records.
    if (!std::isfinite(m.rank())) {
        return false;
    }
    out.key = m.key();
    out.rank = m.rank();
    out.partition = partition_id(m.partition());
    out.body = m.body();
    return true;
}

void write_result(wire::TargetResult& out, target_result const& r)
{
    out.set_upstream(r.upstream.value);
    out.set_outcome(enum_number(r.outcome));
    out.set_condition(enum_number(r.condition));
    out.set_partition_count(r.partition_count);
    write_partitions(*out.mutable_partitions(), r.partitions);
    out.mutable_held()->Reserve(static_cast<int>(r.held.size()));
    for (auto const& it : r.held) {
        out.mutable_held()->AddAlreadyReserved(it.value);
    }
    out.set_latency_us(to_us(r.latency));
}

bool read_result(wire::TargetResult const& m, target_result& out)
{
    out.upstream = upstream_id(m.upstream());
    out.partition_count = m.partition_count();
    out.held.reserve(static_cast<std::size_t>(m.held_size()));
    for (auto const it : m.held()) {
        out.held.emplace_back(it);
    }
    return read_enum(sub_outcome_names, m.outcome(), out.outcome) &&
           read_enum(upstream_condition_names, m.condition(), out.condition) &&
           read_items(m.partitions(), out.partitions, read_partition) &&
           read_duration(m.latency_us(), out.latency);
}

void write_description(wire::UpstreamDescription& out,
                       upstream_description const& d)
{
    out.set_upstream(d.upstream.value);
    out.set_condition(enum_number(d.condition));
    for (auto const& it : d.held) {
        auto& held = *out.add_held();
        held.set_version(it.version.value);
        held.set_partition_count(it.partition_count);
        write_partitions(*held.mutable_partitions(), it.partitions);
    }
}

bool read_held(wire::HeldVersion const& m, held_version& out)
{
    out.version = index_version(m.version());
    out.partition_count = m.partition_count();
    return read_items(m.partitions(), out.partitions, read_partition);
}

bool read_description(wire::UpstreamDescription const& m,
                      upstream_description& out)
{
    out.upstream = upstream_id(m.upstream());
    return read_enum(upstream_condition_names, m.condition(), out.condition) &&
           read_items(m.held(), out.held, read_held);
}

} // namespace

std::string encode(hybrid_time time, query_batch const& m)
{
    call_arena arena;
    auto& out = arena.make<wire::QueryBatch>();
    set_time(out, time);
    out.set_id(m.id.value);
    out.set_group(m.group);
    out.set_version(m.version.value);
    out.set_remaining_us(to_us(m.remaining));
    out.set_flush_after_us(to_us(m.flush_after));
    out.set_body(m.body);
    out.set_limit(m.limit);
    out.set_order(enum_number(m.order));
    out.set_priority(m.priority);
    out.set_print(m.print.value);
    out.set_hedge(m.hedge);
    out.set_retry(m.retry);
    set_upstreams(*out.mutable_targets(), m.targets);
    return out.SerializeAsString();
}

std::string encode(hybrid_time time, query_part const& m)
{
    call_arena arena;
    auto& out = arena.make<wire::QueryPart>();
    set_time(out, time);
    out.set_id(m.id.value);
    out.set_version(m.version.value);
    write_records(out, m.records);
    out.mutable_results()->Reserve(static_cast<int>(m.results.size()));
    for (auto const& it : m.results) {
        write_result(*out.add_results(), it);
    }
    out.set_final(m.final);
    return out.SerializeAsString();
}

std::string encode(hybrid_time time, cancel_request const& m)
{
    call_arena arena;
    auto& out = arena.make<wire::CancelTargets>();
    set_time(out, time);
    out.set_id(m.id.value);
    set_upstreams(*out.mutable_targets(), m.targets);
    return out.SerializeAsString();
}

std::string encode(hybrid_time time, describe_request const& m)
{
    call_arena arena;
    auto& out = arena.make<wire::DescribeRequest>();
    set_time(out, time);
    out.set_id(m.id.value);
    set_upstreams(*out.mutable_targets(), m.targets);
    return out.SerializeAsString();
}

std::string encode(hybrid_time time, describe_answer const& m)
{
    call_arena arena;
    auto& out = arena.make<wire::DescribeAnswer>();
    set_time(out, time);
    out.set_id(m.id.value);
    for (auto const& it : m.upstreams) {
        write_description(*out.add_upstreams(), it);
    }
    return out.SerializeAsString();
}

std::optional<stamped<query_batch>> decode_query_batch(std::string_view b)
{
    call_arena arena;
    auto const* m = arena.parse<wire::QueryBatch>(b);
    if (m == nullptr) {
        return std::nullopt;
    }
    stamped<query_batch> out{.time = time_of(*m)};
    auto& batch = out.message;
    if (!read_name(m->group(), batch.group) ||
        !read_duration(m->remaining_us(), batch.remaining) ||
        !read_duration(m->flush_after_us(), batch.flush_after) ||
        !read_enum(sort_order_names, m->order(), batch.order)) {
        return std::nullopt;
    }
    batch.id = request_id(m->id());
    batch.version = index_version(m->version());
    batch.body = m->body();
    batch.limit = m->limit();
    batch.priority = m->priority();
    batch.print = fingerprint(m->print());
    batch.hedge = m->hedge();
    batch.retry = m->retry();
    batch.targets = upstreams_of(m->targets());
    return out;
}

std::optional<stamped<query_part>> decode_query_part(std::string_view b)
{
    call_arena arena;
    auto const* m = arena.parse<wire::QueryPart>(b);
    if (m == nullptr) {
        return std::nullopt;
    }
    stamped<query_part> out{.time = time_of(*m)};
    out.message.id = request_id(m->id());
    out.message.version = index_version(m->version());
    out.message.final = m->final();
    if (!read_items(m->records(), out.message.records, read_record) ||
        !read_items(m->results(), out.message.results, read_result)) {
        return std::nullopt;
    }
    return out;
}

std::optional<stamped<cancel_request>> decode_cancel(std::string_view b)
{
    call_arena arena;
    auto const* m = arena.parse<wire::CancelTargets>(b);
    if (m == nullptr) {
        return std::nullopt;
    }
    return stamped<cancel_request>{
        time_of(*m), {request_id(m->id()), upstreams_of(m->targets())}};
}

std::optional<stamped<describe_request>>
decode_describe_request(std::string_view b)
{
    call_arena arena;
    auto const* m = arena.parse<wire::DescribeRequest>(b);
    if (m == nullptr) {
        return std::nullopt;
    }
    return stamped<describe_request>{
        time_of(*m), {request_id(m->id()), upstreams_of(m->targets())}};
}

std::optional<stamped<describe_answer>>
decode_describe_answer(std::string_view b)
{
    call_arena arena;
    auto const* m = arena.parse<wire::DescribeAnswer>(b);
    if (m == nullptr) {
        return std::nullopt;
    }
    stamped<describe_answer> out{.time = time_of(*m)};
    out.message.id = request_id(m->id());
    if (!read_items(m->upstreams(), out.message.upstreams, read_description)) {
        return std::nullopt;
    }
    return out;
}

} // namespace snipemill
