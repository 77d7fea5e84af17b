#include "adapters/codec/host_codec.hpp"

#include "adapters/codec/peer_codec_detail.hpp"
#include "core/base/overloaded.hpp"

#include <algorithm>

namespace snipemill {

using namespace peer_codec;

namespace {

// Most routes in one report.
constexpr int max_report_items = 256;

void write(wire::StoreFloor& out, floor_message const& from)
{
    out.set_revision(from.floor.revision);
    for (auto const it : from.floor.floors) {
        out.add_floors(it);
    }
    out.set_age_us(to_us(from.floor.age));
    out.set_pass_on(from.pass_on);
    out.set_era(from.floor.era);
}

void write(wire::CapRequest& out, cap_request const& from)
{
    out.set_account(from.account);
    out.set_host(from.host);
    out.set_number(from.number);
    out.set_wanted(from.wanted);
    out.set_as_deputy(from.as_deputy);
}

void write(wire::CapGrant& out, cap_grant const& from)
{
    out.set_account(from.account);
    out.set_host(from.host);
    out.set_number(from.number);
    out.set_outcome(enum_number(from.outcome));
    out.set_granted(from.granted);
    out.set_retry_after_us(to_us(from.retry_after));
    out.set_interval_us(to_us(from.interval));
    out.set_room_after_us(to_us(from.room_after));
}

void write(wire::VersionCounts& out, version_counts const& from)
{
    out.set_sent(from.sent);
    out.set_ended(from.ended);
    out.set_failed(from.failed);
    auto const& counts = from.latencies.counts;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (counts[i] > 0) {
            auto& it = *out.add_latencies();
            it.set_bucket(static_cast<std::uint32_t>(i));
            it.set_count(counts[i]);
        }
    }
}

void write(wire::RolloutReport& out, rollout_report const& from)
{
    out.set_service(from.service);
    out.set_target_version(from.target_version);
    out.set_host(from.host);
    out.set_incarnation(from.incarnation);
    out.set_share(from.share);
    for (auto const& it : from.routes) {
        auto& route = *out.add_routes();
        route.set_route(it.route);
        write(*route.mutable_previous(), it.previous);
        write(*route.mutable_target(), it.target);
    }
}

void write(wire::RolloutInstruction& out, rollout_instruction const& from)
{
    out.set_service(from.service);
    out.set_target_version(from.target_version);
    out.set_token(from.token);
    out.set_number(from.number);
    out.set_state(enum_number(from.state));
    out.set_share(from.share);
    out.set_decider(from.decider);
}

bool read(wire::StoreFloor const& in, floor_message& out)
{
    if (in.revision() == 0 ||
        in.floors_size() != static_cast<int>(out.floor.floors.size()) ||
        !read_duration(in.age_us(), out.floor.age)) {
        return false;
    }
    out.floor.era = in.era();
    out.floor.revision = in.revision();
    std::copy(in.floors().begin(), in.floors().end(), out.floor.floors.begin());
    out.pass_on = in.pass_on();
    return true;
}

bool read(wire::CapRequest const& in, cap_request& out)
{
    out.number = in.number();
    out.wanted = in.wanted();
    out.as_deputy = in.as_deputy();
    return out.number != 0 && !in.account().empty() &&
           !in.host().empty() && read_name(in.account(), out.account) &&
           read_name(in.host(), out.host);
}

bool read(wire::CapGrant const& in, cap_grant& out)
{
    out.number = in.number();
    out.granted = in.granted();
    return out.number != 0 && !in.account().empty() && !in.host().empty() &&
           read_name(in.account(), out.account) &&
           read_name(in.host(), out.host) &&
           read_enum(cap_outcome_names, in.outcome(), out.outcome) &&
           (out.outcome == cap_outcome::granted) == (out.granted != 0) &&
           read_duration(in.retry_after_us(), out.retry_after) &&
           read_duration(in.interval_us(), out.interval) &&
           read_duration(in.room_after_us(), out.room_after);
}

bool read(wire::VersionCounts const& in, version_counts& out)
{
    out.sent = in.sent();
    out.ended = in.ended();
    out.failed = in.failed();
    if (out.ended > out.sent || out.failed > out.ended) {
        return false;
    }
    for (auto const& it : in.latencies()) {
        if (it.bucket() >= latency_counts::size) {
            return false;
        }
        out.latencies.counts[it.bucket()] = it.count();
    }
    return true;
}

// False for no number as well.
bool is_share(double v)
{
    return v >= 0 && v <= 1;
}

bool read(wire::RouteCounts const& in, route_counts& out)
{
    return read_name(in.route(), out.route) &&
           read(in.previous(), out.previous) && read(in.target(), out.target);
}

bool read(wire::RolloutReport const& in, rollout_report& out)
{
    out.incarnation = in.incarnation();
    out.share = in.share();
    return is_share(out.share) && in.routes_size() <= max_report_items &&
           !in.service().empty() && !in.host().empty() &&
           read_name(in.service(), out.service) &&
           read_name(in.target_version(), out.target_version) &&
           read_name(in.host(), out.host) &&
           read_items(in.routes(), out.routes, [](auto const& from, auto& to) {
               return read(from, to);
           });
}

bool read(wire::RolloutInstruction const& in, rollout_instruction& out)
{
    out.token = in.token();
    out.number = in.number();
    out.share = in.share();
    return out.token != 0 && out.number != 0 && is_share(out.share) &&
           !in.service().empty() && !in.decider().empty() &&
           read_enum(rollout_state_names, in.state(), out.state) &&
           read_name(in.service(), out.service) &&
           read_name(in.target_version(), out.target_version) &&
           read_name(in.decider(), out.decider);
}

template <class T, class Wire>
std::optional<host_message> read_as(Wire const& in)
{
    T out;
    if (!read(in, out)) {
        return std::nullopt;
    }
    return out;
}

} // namespace

std::string encode(host_message const& message)
{
    call_arena arena;
    auto& out = arena.make<wire::HostDatagram>();
    std::visit(
        overloaded{
            [&](floor_message const& it) { write(*out.mutable_floor(), it); },
            [&](cap_request const& it) {
                write(*out.mutable_cap_request(), it);
            },
            [&](cap_grant const& it) { write(*out.mutable_cap_grant(), it); },
            [&](rollout_report const& it) {
                write(*out.mutable_rollout_report(), it);
            },
            [&](rollout_instruction const& it) {
                write(*out.mutable_rollout_instruction(), it);
            }},
        message);
    return out.SerializeAsString();
}

std::optional<host_message> decode_host_message(std::string_view bytes)
{
    call_arena arena;
    auto const* const it = arena.parse<wire::HostDatagram>(bytes);
    if (!it) {
        return std::nullopt;
    }
    switch (it->message_case()) {
    case wire::HostDatagram::kFloor:
        return read_as<floor_message>(it->floor());
    case wire::HostDatagram::kCapRequest:
        return read_as<cap_request>(it->cap_request());
    case wire::HostDatagram::kCapGrant:
        return read_as<cap_grant>(it->cap_grant());
    case wire::HostDatagram::kRolloutReport:
        return read_as<rollout_report>(it->rollout_report());
    case wire::HostDatagram::kRolloutInstruction:
        return read_as<rollout_instruction>(it->rollout_instruction());
    case wire::HostDatagram::MESSAGE_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace snipemill
