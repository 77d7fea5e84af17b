#include "upstream/upstream.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace standin {

namespace {

namespace json = boost::json;

bool read_versions(json::value const& v, std::vector<std::uint64_t>& out)
{
    auto const* all = v.if_array();
    if (all == nullptr) {
        return false;
    }
    std::vector<std::uint64_t> versions;
    for (auto const& it : *all) {
        if (!it.is_int64() || it.get_int64() < 0) {
            return false;
        }
        versions.push_back(static_cast<std::uint64_t>(it.get_int64()));
    }
    out = std::move(versions);
    return true;
}

bool read_fault(json::value const& v, execute_fault& out)
{
    static constexpr std::pair<std::string_view, execute_fault> names[] = {
        {"none", execute_fault::none},
        {"before", execute_fault::before},
        {"during", execute_fault::during},
        {"after", execute_fault::after}};
    for (auto const& [name, fault] : names) {
        if (v.is_string() && v.get_string() == name) {
            out = fault;
            return true;
        }
    }
    return false;
}

template <class T>
bool read_number(json::value const& v, T& out)
{
    double const n = v.is_number() ? v.to_number<double>() : -1;
    if (n < 0) {
        return false;
    }
    out = static_cast<T>(n);
    return true;
}

} // namespace

void upstream::on_control(exchange_ptr const& e)
{
    std::string const what = e->path.size() == 2 ? e->path[1] : "";
    if (e->method == "GET" && what == "counters") {
        e->reply({.body = counters()});
        return;
    }
    if (e->method == "GET" && what == "log") {
        e->reply({.body = log()});
        return;
    }
    boost::system::error_code ec;
    auto const v = json::parse(e->body, ec);
    if (e->method != "POST" || !what.empty() || ec || !v.is_object() ||
        !set_controls(v.get_object())) {
        e->reply({.status = 400});
        return;
    }
    e->reply({.body = "{}"});
}

// Sets each control that is named; false at the first that is not known or
// has a wrong type.
bool upstream::set_controls(json::object const& o)
{
    for (auto const& [name, v] : o) {
        bool const on = v.is_bool() && v.get_bool();
        bool ok = v.is_bool();
        if (name == "versions") {
            ok = read_versions(v, settings_.versions);
        }
        else if (name == "close_execute") {
            ok = read_fault(v, execute_fault_);
        }
        else if (name == "refuse_connections_ms") {
            ok = refuse_connections(v);
        }
        else if (name == "draining") {
            draining_ = on;
        }
        else if (name == "hold") {
            capacity_.hold(on);
        }
        else if (name == "cold" && on) {
            capacity_.turn_cold();
        }
        else if (name == "restart" && on) {
            restart();
        }
        else if (name == "reset_counters" && on) {
            reset_counters();
        }
        else {
            ok = set_number(name, v);
        }
        if (!ok) {
            return false;
        }
    }
    return true;
}

bool upstream::refuse_connections(json::value const& v)
{
    double ms = 0;
    if (!read_number(v, ms)) {
        return false;
    }
    ++counters_.listener_closed;
    stop_listening(ms);
    return true;
}

bool upstream::set_number(std::string_view name, json::value const& v)
{
    if (name == "latency_ms") {
        return read_number(v, settings_.latency_ms);
    }
    if (name == "straggle_one_in") {
        return read_number(v, settings_.straggle_one_in);
    }
    if (name == "straggle_factor") {
        return read_number(v, settings_.straggle_factor);
    }
    if (name == "cold_ms") {
        return read_number(v, settings_.cold_ms);
    }
    if (name == "restart_ms") {
        return read_number(v, settings_.restart_ms);
    }
    if (name == "status_lag_ms") {
        return read_number(v, settings_.status_lag_ms);
    }
    if (name == "slots") {
        return read_number(v, settings_.slots);
    }
    if (name == "connections") {
        bool const ok = read_number(v, settings_.connections);
        server_.set_max_connections(settings_.connections);
        return ok;
    }
    return false;
}

void upstream::reset_counters()
{
    counters_ = {};
    counters_.max_in_flight = capacity_.in_flight();
    auto& n = server_.connections();
    n.max_open = n.open;
    n.violations = 0;
    executed_.clear();
}

std::string upstream::counters()
{
    auto const& n = server_.connections();
    json::object out;
    out["requests"] = counters_.requests;
    out["ran"] = counters_.ran;
    out["in_flight"] = capacity_.in_flight();
    out["max_in_flight"] = counters_.max_in_flight;
    out["slot_violations"] = counters_.slot_violations;
    out["connections"] = n.open;
    out["max_connections"] = n.max_open;
    out["connection_violations"] = n.violations;
    out["collapses"] = counters_.collapses;
    out["crashes"] = counters_.crashes;
    out["closed_before"] = counters_.closed_before;
    out["closed_during"] = counters_.closed_during;
    out["closed_after"] = counters_.closed_after;
    out["listener_closed"] = counters_.listener_closed;
    out["cancelled"] = counters_.cancelled;
    out["shed"] = counters_.shed;
    out["expired"] = counters_.expired;
    out["cold"] = capacity_.cold();
    out["last_request_ms"] = counters_.last_request_ms;
    out["now_ms"] = now_ms();
    return json::serialize(out);
}

std::string upstream::log() const
{
    json::object out;
    auto& keys = out["executed"].emplace_object();
    for (auto const& [key, count] : executed_) {
        keys[key] = count;
    }
    return json::serialize(out);
}

} // namespace standin
