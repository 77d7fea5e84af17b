#include "adapters/codec/host_codec.hpp"

#include "adapters/codec/peer_codec_detail.hpp"
#include "core/base/overloaded.hpp"

#include <algorithm>

namespace snipemill {

using namespace peer_codec;

namespace {

// Most versions and routes in one report.
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

void write(wire::RolloutReport& out, rollout_report const& from)
{
    out.set_service(from.service);
    out.set_target_version(from.target_version);
    out.set_host(from.host);
    out.set_fence(from.fence);
    for (auto const& it : from.versions) {
        auto& counts = *out.add_versions();
        counts.set_version(it.version);
        counts.set_requests(it.requests);
        counts.set_bad(it.bad);
        for (auto const& sum : it.latencies) {
            auto& latency = *counts.add_latencies();
            latency.set_route(sum.route);
            latency.set_responses(sum.responses);
            latency.set_sum_us(to_us(sum.sum));
        }
    }
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

bool read(wire::RouteLatency const& in, route_latency_sum& out)
{
    out.responses = in.responses();
    // A sum over many responses may exceed the longest single duration.
    if (in.sum_us() > static_cast<std::uint64_t>(duration::max().count())) {
        return false;
    }
    out.sum = duration(static_cast<duration::rep>(in.sum_us()));
    return read_name(in.route(), out.route);
}

bool read(wire::VersionCounts const& in, version_counts& out)
{
    out.requests = in.requests();
    out.bad = in.bad();
    return in.latencies_size() <= max_report_items &&
           read_name(in.version(), out.version) &&
           read_items(
               in.latencies(), out.latencies,
               [](auto const& from, auto& to) { return read(from, to); });
}

bool read(wire::RolloutReport const& in, rollout_report& out)
{
    out.fence = in.fence();
    return in.versions_size() <= max_report_items && !in.service().empty() &&
           !in.host().empty() && read_name(in.service(), out.service) &&
           read_name(in.target_version(), out.target_version) &&
           read_name(in.host(), out.host) &&
           read_items(
               in.versions(), out.versions,
               [](auto const& from, auto& to) { return read(from, to); });
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
    case wire::HostDatagram::MESSAGE_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace snipemill
