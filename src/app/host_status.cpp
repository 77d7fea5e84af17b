#include "app/host_status.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace snipemill {

namespace {

namespace json = boost::json;

json::string_view text(std::string_view s)
{
    return {s.data(), s.size()};
}

// A member that is suspect or dead has been unreachable for some time.
json::object member_json(member_info const& m,
                         std::map<host_id, duration> const& unreachable)
{
    json::value unreachable_ms; // null
    if (auto const it = unreachable.find(m.id); it != unreachable.end()) {
        unreachable_ms = static_cast<std::int64_t>(to_ms(it->second));
    }
    return {{"name", m.id.value},
            {"data_centre", m.data_centre},
            {"ip", m.ip},
            {"peer_port", m.peer_port},
            {"operator_port", m.operator_port},
            {"incarnation", m.incarnation},
            {"state", text(name_of(member_state_names, m.state))},
            {"unreachable_ms", std::move(unreachable_ms)}};
}

json::object upstream_json(routing_view const& view, upstream_gauge const& g)
{
    json::object out{
        {"id", g.upstream.value},
        {"condition", text(name_of(upstream_condition_names, g.condition))},
        {"limit", g.limit},
        {"in_flight", g.in_flight},
        {"queued", g.queued},
        {"latency_quantile_us", g.latency_quantile.count()}};
    if (auto const* it = view.config->find_upstream(g.upstream)) {
        out["name"] = it->object.name;
        out["service"] = it->object.service;
        out["data_centre"] = it->object.data_centre;
    }
    return out;
}

json::object crash_json(crash_record const& r)
{
    json::array upstreams;
    for (auto const id : r.upstreams) {
        upstreams.push_back(id.value);
    }
    return {{"fingerprint", std::to_string(r.print.value)},
            {"upstreams", std::move(upstreams)},
            {"manual", r.manual}};
}

json::array crashes_json(std::vector<crash_record> const& records)
{
    json::array out;
    for (auto const& it : records) {
        if (!it.removed()) {
            out.push_back(crash_json(it));
        }
    }
    return out;
}

json::object platform_json(control_status const& control)
{
    auto const& c = control.platform;
    return {{"reachable", control.platform_reachable},
            {"gets", c.gets},
            {"puts", c.puts},
            {"removes", c.removes},
            {"lists", c.lists},
            {"watches", c.watches},
            {"host_lists", c.host_lists},
            {"failed", c.failed},
            {"ambiguous", c.ambiguous},
            {"not_sent_budget", c.not_sent_budget},
            {"not_sent_breaker", c.not_sent_breaker}};
}

json::object control_json(control_status const& control,
                          lane_status const& traffic)
{
    auto const& m = control.membership;
    return {{"probes_sent", m.probes_sent},
            {"acks_sent", m.acks_sent},
            {"indirect_sent", m.indirect_sent},
            {"suspected", m.suspected},
            {"refuted", m.refuted},
            {"declared_dead", m.declared_dead},
            {"announced", m.announced},
            {"member_lists", control.member_lists},
            {"probe_bytes_sent", control.probe_bytes_sent},
            {"probe_bytes_received", control.probe_bytes_received},
            {"stream_bytes_sent", control.peer.bytes_sent},
            {"stream_bytes_received", control.peer.bytes_received},
            {"served_bytes_sent", traffic.peer.control_bytes_sent},
            {"served_bytes_received", traffic.peer.control_bytes_received},
            {"platform_bytes_sent", control.platform_bytes.sent},
            {"platform_bytes_received", control.platform_bytes.received}};
}

} // namespace

std::string write_host_status(host_settings const& settings,
                              control_status const& control,
                              lane_status const& traffic)
{
    json::array members;
    for (auto const& it : control.members) {
        members.push_back(member_json(it, control.unreachable));
    }
    json::array upstreams;
    for (auto const& it : traffic.gauges) {
        upstreams.push_back(upstream_json(*control.view, it));
    }
    json::object counters;
    for_each_counter(traffic, [&](std::string_view name, std::uint64_t value) {
        counters[text(name)] = value;
    });
    json::object const out{
        {"host", settings.name},
        {"data_centre", settings.data_centre},
        {"ready", control.ready},
        {"draining", control.draining},
        {"config",
         {{"number", control.config_number},
          {"age_ms", static_cast<std::int64_t>(to_ms(control.config_age))},
          {"reader", control.reader}}},
        {"in_flight",
         {{"queries", traffic.queries_in_flight},
          {"submits", traffic.submits_in_flight},
          {"sub_requests", traffic.sub_requests_in_flight}}},
        {"platform", platform_json(control)},
        {"control", control_json(control, traffic)},
        {"members", std::move(members)},
        {"routed_hosts",
         control.view ? control.view->owners->hosts().size() : 0},
        {"upstreams", std::move(upstreams)},
        {"crashes", crashes_json(control.crashes)},
        {"counters", std::move(counters)}};
    return json::serialize(out);
}

std::string write_crashes(std::vector<crash_record> const& records)
{
    return json::serialize(json::object{{"crashes", crashes_json(records)}});
}

std::string write_timeline(std::string const& host,
                           std::vector<event> const& events)
{
    json::array list;
    for (auto const& it : events) {
        list.push_back(
            json::object{{"wall_us", it.time.wall},
                         {"counter", it.time.counter},
                         {"sequence", it.sequence},
                         {"kind", text(name_of(event_kind_names, it.kind))},
                         {"subject", it.subject},
                         {"detail", it.detail}});
    }
    return json::serialize(
        json::object{{"host", host}, {"events", std::move(list)}});
}

} // namespace snipemill
