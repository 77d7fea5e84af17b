#include "adapters/codec/peer_codec_detail.hpp"

#include <algorithm>

namespace snipemill {

namespace peer_codec {

void write_member(wire::Member& out, member_info const& m)
{
    out.set_id(m.id.value);
    out.set_data_centre(m.data_centre);
    out.set_ip(m.ip);
    out.set_peer_port(m.peer_port);
    out.set_operator_port(m.operator_port);
    out.set_incarnation(m.incarnation);
    out.set_state(enum_number(m.state));
}

bool read_member(wire::Member const& m, member_info& out)
{
    out.incarnation = m.incarnation();
    return read_name(m.id(), out.id.value) &&
           read_name(m.data_centre(), out.data_centre) &&
           read_name(m.ip(), out.ip) &&
           read_port(m.peer_port(), out.peer_port) &&
           read_port(m.operator_port(), out.operator_port) &&
           read_enum(member_state_names, m.state(), out.state);
}

} // namespace peer_codec

using namespace peer_codec;

namespace {

constexpr name_table<probe_kind, 3> probe_kind_names{{
    {probe_kind::probe, "probe"},
    {probe_kind::ack, "ack"},
    {probe_kind::indirect, "indirect"},
}};

// A sender's max_updates may differ from ours; far more is an attack or a
// fault.
constexpr int max_probe_updates = 64;
constexpr int max_probe_crashes = 1024;
// Upstreams named in one crash record.
constexpr int max_crash_upstreams = 64;
// Far more than operators make; leaves room to count on.
constexpr std::uint32_t max_crash_removals = 1'000'000;
// Records older than this have expired everywhere.
constexpr std::uint64_t max_crash_age_ms = 86'400'000;

std::uint64_t age_in_ms(time_point now, time_point seen)
{
    return to_us(now - seen) / 1000;
}

void write_crash(wire::CrashRecord& out, time_point now, crash_record const& c)
{
    out.set_print(c.print.value);
    set_upstreams(*out.mutable_upstreams(), c.upstreams);
    out.set_age_ms(age_in_ms(now, c.last_seen));
    out.set_manual(c.manual);
    out.set_removals(c.removals);
}

bool read_crash(time_point now, wire::CrashRecord const& m, crash_record& out)
{
    if (m.age_ms() > max_crash_age_ms || m.removals() > max_crash_removals ||
        m.upstreams_size() > max_crash_upstreams) {
        return false;
    }
    out.print = fingerprint(m.print());
    out.upstreams = upstreams_of(m.upstreams());
    out.last_seen = now - from_ms(static_cast<std::int64_t>(m.age_ms()));
    out.manual = m.manual();
    out.removals = m.removals();
    // Distinct and ascending.
    return std::adjacent_find(out.upstreams.begin(), out.upstreams.end(),
                              std::greater_equal<>()) == out.upstreams.end();
}

void write_gauge(wire::UpstreamGauge& out, upstream_gauge const& g)
{
    out.set_upstream(g.upstream.value);
    out.set_condition(enum_number(g.condition));
    out.set_limit(g.limit);
    out.set_in_flight(g.in_flight);
    out.set_queued(g.queued);
    out.set_latency_quantile_us(to_us(g.latency_quantile));
}

bool read_gauge(wire::UpstreamGauge const& m, upstream_gauge& out)
{
    out.upstream = upstream_id(m.upstream());
    out.limit = m.limit();
    out.in_flight = m.in_flight();
    out.queued = m.queued();
    return read_enum(upstream_condition_names, m.condition(), out.condition) &&
           read_duration(m.latency_quantile_us(), out.latency_quantile);
}

bool read_probe(wire::Probe const& m, probe_message& out)
{
    out.sequence = m.sequence();
    out.config_number = m.config_number();
    return m.updates_size() <= max_probe_updates &&
           read_enum(probe_kind_names, m.kind(), out.kind) &&
           read_member(m.from(), out.from) &&
           read_name(m.target(), out.target.value) &&
           read_items(m.updates(), out.updates, read_member);
}

} // namespace

std::string encode(hybrid_time time, handover_message const& m)
{
    call_arena arena;
    auto& out = arena.make<wire::Handover>();
    set_time(out, time);
    out.set_from(m.from.value);
    for (auto const& it : m.upstreams) {
        write_gauge(*out.add_upstreams(), it);
    }
    return out.SerializeAsString();
}

std::string encode(time_point now, probe_packet const& m)
{
    call_arena arena;
    auto& out = arena.make<wire::Probe>();
    set_time(out, m.time);
    out.set_kind(enum_number(m.message.kind));
    out.set_sequence(m.message.sequence);
    write_member(*out.mutable_from(), m.message.from);
    out.set_target(m.message.target.value);
    out.set_config_number(m.message.config_number);
    for (auto const& it : m.message.updates) {
        write_member(*out.add_updates(), it);
    }
    for (auto const& it : m.crashes) {
        write_crash(*out.add_crashes(), now, it);
    }
    return out.SerializeAsString();
}

std::optional<stamped<handover_message>> decode_handover(std::string_view b)
{
    call_arena arena;
    auto const* m = arena.parse<wire::Handover>(b);
    if (m == nullptr) {
        return std::nullopt;
    }
    stamped<handover_message> out{.time = time_of(*m)};
    if (!read_name(m->from(), out.message.from.value) ||
        !read_items(m->upstreams(), out.message.upstreams, read_gauge)) {
        return std::nullopt;
    }
    return out;
}

std::optional<probe_packet> decode_probe(time_point now, std::string_view b)
{
    call_arena arena;
    auto const* m = arena.parse<wire::Probe>(b);
    if (m == nullptr || m->crashes_size() > max_probe_crashes) {
        return std::nullopt;
    }
    probe_packet out{.time = time_of(*m)};
    auto const crash = [&](wire::CrashRecord const& it, crash_record& c) {
        return read_crash(now, it, c);
    };
    if (!read_probe(*m, out.message) ||
        !read_items(m->crashes(), out.crashes, crash)) {
        return std::nullopt;
    }
    return out;
}

} // namespace snipemill
