#include "app/host_status.hpp"

#include <prometheus/text_serializer.h>

#include <string>
#include <utility>

namespace snipemill {

namespace {

using family = prometheus::MetricFamily;
using label_list = std::vector<std::pair<std::string, std::string>>;

family make_family(std::string name, std::string help,
                   prometheus::MetricType type)
{
    family out;
    out.name = "snipemill_" + std::move(name);
    out.help = std::move(help);
    out.type = type;
    return out;
}

void add_value(family& to, double value, label_list const& labels = {})
{
    prometheus::ClientMetric metric;
    for (auto const& [name, text] : labels) {
        metric.label.push_back({name, text});
    }
    if (to.type == prometheus::MetricType::Counter) {
        metric.counter.value = value;
    }
    else {
        metric.gauge.value = value;
    }
    to.metric.push_back(std::move(metric));
}

family counter(std::string name, std::uint64_t value)
{
    auto out =
        make_family(std::move(name), "", prometheus::MetricType::Counter);
    add_value(out, static_cast<double>(value));
    return out;
}

family gauge(std::string name, std::string help, double value)
{
    auto out = make_family(std::move(name), std::move(help),
                           prometheus::MetricType::Gauge);
    add_value(out, value);
    return out;
}

family platform_calls(platform_counters const& c)
{
    auto out =
        make_family("platform_calls_total", "Calls to the platform, by kind",
                    prometheus::MetricType::Counter);
    auto const add = [&](char const* kind, std::uint64_t n) {
        add_value(out, static_cast<double>(n), {{"kind", kind}});
    };
    add("get", c.gets);
    add("put", c.puts);
    add("remove", c.removes);
    add("list", c.lists);
    add("watch", c.watches);
    add("hosts", c.host_lists);
    add("failed", c.failed);
    add("ambiguous", c.ambiguous);
    add("not_sent_budget", c.not_sent_budget);
    add("not_sent_breaker", c.not_sent_breaker);
    return out;
}

family control_bytes(control_status const& control, lane_status const& traffic)
{
    auto out = make_family("control_bytes_total",
                           "Bytes of control traffic, by kind: probes, "
                           "streams to other hosts, streams served for other "
                           "hosts, calls to the platform",
                           prometheus::MetricType::Counter);
    auto const add = [&](char const* kind, char const* direction,
                         std::uint64_t n) {
        add_value(out, static_cast<double>(n),
                  {{"kind", kind}, {"direction", direction}});
    };
    add("probe", "sent", control.probe_bytes_sent);
    add("probe", "received", control.probe_bytes_received);
    add("stream", "sent", control.peer.bytes_sent);
    add("stream", "received", control.peer.bytes_received);
    add("served", "sent", traffic.peer.control_bytes_sent);
    add("served", "received", traffic.peer.control_bytes_received);
    add("platform", "sent", control.platform_bytes.sent);
    add("platform", "received", control.platform_bytes.received);
    return out;
}

void add_upstreams(routing_view const& view,
                   std::vector<upstream_gauge> const& gauges,
                   std::vector<family>& out)
{
    auto limits = make_family("upstream_limit", "Concurrent requests allowed",
                              prometheus::MetricType::Gauge);
    auto in_flight = make_family("upstream_in_flight", "Requests running",
                                 prometheus::MetricType::Gauge);
    auto conditions =
        make_family("upstream_condition", "1 for the condition that holds",
                    prometheus::MetricType::Gauge);
    for (auto const& it : gauges) {
        auto const* known = view.config->find_upstream(it.upstream);
        if (known == nullptr) {
            continue;
        }
        auto const& name = known->object.name;
        add_value(limits, it.limit, {{"upstream", name}});
        add_value(in_flight, it.in_flight, {{"upstream", name}});
        auto const condition =
            std::string(name_of(upstream_condition_names, it.condition));
        add_value(conditions, 1,
                  {{"upstream", name}, {"condition", condition}});
    }
    out.push_back(std::move(limits));
    out.push_back(std::move(in_flight));
    out.push_back(std::move(conditions));
}

} // namespace

std::string write_metrics(control_status const& control,
                          lane_status const& traffic,
                          traffic_metrics const& histograms)
{
    auto families = histograms.collect();
    for_each_counter(traffic, [&](std::string_view name, std::uint64_t value) {
        families.push_back(counter(std::string(name), value));
    });
    families.push_back(
        counter("probes_sent_total", control.membership.probes_sent));
    families.push_back(
        counter("members_suspected_total", control.membership.suspected));
    families.push_back(counter("members_declared_dead_total",
                               control.membership.declared_dead));
    families.push_back(platform_calls(control.platform));
    families.push_back(control_bytes(control, traffic));
    families.push_back(
        gauge("ready", "1 when the host may serve", control.ready ? 1 : 0));
    families.push_back(gauge("config_number", "Ticket in force",
                             static_cast<double>(control.config_number)));
    families.push_back(gauge("config_age_seconds",
                             "Time since the platform confirmed it",
                             to_ms(control.config_age) / 1000.0));
    families.push_back(gauge("queries_in_flight", "Queries running",
                             static_cast<double>(traffic.queries_in_flight)));
    families.push_back(
        gauge("members", "Known members of the fleet, this host not counted",
              static_cast<double>(control.members.size())));
    add_upstreams(*control.view, traffic.gauges, families);
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace snipemill
