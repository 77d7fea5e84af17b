#include "fleet/documents.hpp"

#include <boost/json/array.hpp>

#include <utility>

namespace standin {

namespace json = boost::json;

namespace {

json::object route(std::string const& name, char const* prefix,
                   manifest_state const& state)
{
    return {{"name", name},
            {"host", "soak"},
            {"path_prefix", prefix},
            {"type", "idempotent"},
            {"attempts", 2},
            {"timeout_ms", state.timeout_ms},
            {"target_latency_ms", 120},
            {"priority", 1}};
}

} // namespace

json::object manifest_document(manifest_state const& from)
{
    json::array routes;
    json::array shards;
    json::array services;
    for (auto const& it : from.shards) {
        shards.emplace_back(it);
        services.emplace_back(json::object{{"name", it}, {"max_conns", 40}});
    }
    services.emplace_back(
        json::object{{"name", single_service}, {"max_conns", 60}});
    auto wide = route("wide", "/wide/", from);
    wide["gather"] = std::move(shards);
    wide["top_k"] = 5;
    wide["min_shard_ratio"] = 0.6;
    routes.emplace_back(std::move(wide));
    auto one = route("one", "/one/", from);
    one["backend"] = single_service;
    routes.emplace_back(std::move(one));
    auto once = route("once", "/once/", from);
    once["backend"] = single_service;
    once["type"] = "non_idempotent";
    routes.emplace_back(std::move(once));
    if (from.extra_route) {
        auto extra = route("extra", "/extra/", from);
        extra["backend"] = single_service;
        routes.emplace_back(std::move(extra));
    }
    json::object out{{"version", from.version},
                     {"routes", std::move(routes)},
                     {"services", std::move(services)}};
    if (!from.accounts.empty()) {
        json::array accounts;
        for (auto const& it : from.accounts) {
            accounts.emplace_back(
                json::object{{"name", it.name},
                             {"api_keys", json::array{json::string(it.key)}},
                             {"rate_per_s", it.rate},
                             {"burst", it.burst}});
        }
        out["tenants"] = std::move(accounts);
    }
    return out;
}

json::object upstream_document(upstream_options const& from,
                               std::string const& address,
                               std::string const& data_centre, bool draining)
{
    return {{"backend", from.service},
            {"address", address},
            {"zone", data_centre},
            {"version", "v1"},
            {"max_concurrency", from.slots},
            {"state", draining ? "draining" : "ready"},
            {"warmup_left_ms", 0},
            {"sequence", 1},
            {"born", 1}};
}

json::object entry_without_address()
{
    return {{"backend", 7}};
}

json::object entry_in_unknown_state()
{
    return {{"backend", single_service}, {"state", "asleep"}};
}

} // namespace standin
