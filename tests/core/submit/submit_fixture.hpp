#pragma once

#include "core/submit/submit_engine.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipemill {

// One service with replicas 1 and 2 in colombo (hosts a and b) and 3 in galle
// (host c).
inline std::shared_ptr<routing_view const>
submit_view(std::string const& self = "a", upstream_state first = {},
            data_centre_state colombo = {})
{
    std::map<std::string, config_object> all;
    auto const put = [&](config_object const& o) { all[object_key(o)] = o; };
    put(data_centre_object{"colombo", "western-province", colombo});
    put(data_centre_object{"galle", "western-province"});
    put(group_object{.name = "stores-desk"});
    put(service_object{.name = "depot", .group = "stores-desk"});
    for (std::uint32_t id = 1; id <= 3; ++id) {
        put(upstream_object{.id = upstream_id(id),
                            .name = "depot-" + std::to_string(id),
                            .service = "depot",
                            .data_centre = id == 3 ? "galle" : "colombo",
                            .address = "127.0.0.1:1",
                            .state = id == 1 ? first : upstream_state{}});
    }
    auto view = std::make_shared<routing_view>();
    view->self = host_id(self);
    view->config = topology::build(1, all);
    view->owners = owner_table::compute(
        *view->config, {{.id = host_id("a"), .data_centre = "colombo"},
                        {.id = host_id("b"), .data_centre = "colombo"},
                        {.id = host_id("c"), .data_centre = "galle"}});
    return view;
}

inline caller_submit submit_with(std::string const& key,
                                 std::string const& body = "{}")
{
    return {.group = "stores-desk", .key = key, .body = body};
}

// The claims in the platform.
class claim_store
{
public:
    struct stored
    {
        claim value;
        std::uint64_t version = 0;
    };

    // The new version, or nothing when the condition does not hold.
    std::optional<std::uint64_t> put(put_claim const& p)
    {
        auto& it = claims[p.key];
        if (it.version != p.if_version) {
            return std::nullopt;
        }
        it.value = p.value;
        return ++it.version;
    }
    std::optional<stored> get(std::string const& key) const
    {
        auto const it = claims.find(key);
        if (it == claims.end() || it->second.version == 0) {
            return std::nullopt;
        }
        return it->second;
    }

    std::map<std::string, stored> claims;
};

// An engine on a platform that answers at once, unless a test takes the
// actions itself.
class submit_bench
{
public:
    explicit submit_bench(submit_engine_settings const& settings = {})
        : engine(settings, 0, 1, 1)
    {
        engine.on_view(submit_view());
    }

    void submit(std::string const& key, std::string const& json = "{}")
    {
        engine.on_submit(now, 1, 1, submit_with(key, json), out);
    }
    // Takes the first action of a kind.
    template <class T>
    std::optional<T> take()
    {
        for (auto it = out.begin(); it != out.end(); ++it) {
            if (auto* a = std::get_if<T>(&*it)) {
                auto found = std::move(*a);
                out.erase(it);
                return found;
            }
        }
        return std::nullopt;
    }
    template <class T>
    bool has() const
    {
        return std::any_of(out.begin(), out.end(), [](auto const& it) {
            return std::holds_alternative<T>(it);
        });
    }
    // The platform executes the next write and gives a clear answer.
    void serve_put()
    {
        auto const p = *take<put_claim>();
        auto const version = store.put(p);
        engine.on_claim_written(
            now, p.id, version ? claim_write::written : claim_write::conflict,
            version.value_or(0), out);
    }
    // The write takes effect, but its answer is lost.
    void lose_put()
    {
        auto const p = *take<put_claim>();
        store.put(p);
        engine.on_claim_written(now, p.id, claim_write::ambiguous, 0, out);
    }
    void answer_put(claim_write result)
    {
        engine.on_claim_written(now, take<put_claim>()->id, result, 0, out);
    }
    void serve_get()
    {
        auto const g = *take<get_claim>();
        auto const found = store.get(g.key);
        std::optional<claim> value;
        if (found) {
            value = found->value;
        }
        engine.on_claim_read(now, g.id, true, value, found ? found->version : 0,
                             out);
    }
    void fail_get()
    {
        engine.on_claim_read(now, take<get_claim>()->id, false, std::nullopt, 0,
                             out);
    }
    // The owner answers the next forwarded request.
    void result(submit_outcome const& outcome)
    {
        auto const f = *take<forward_submit>();
        engine.on_result(now, {f.request.id, outcome}, out);
    }
    void wait(duration d)
    {
        now += d;
        engine.on_timer(now, out);
    }
    // The caller's answer as a failure; code ok when it ran.
    failure answer()
    {
        auto const it = take<answer_submit>();
        if (!it) {
            return {errc::internal, run_state::unknown, "no answer"};
        }
        repeated = it->repeated;
        if (auto const* f = std::get_if<failure>(&it->result)) {
            return *f;
        }
        body = std::get<submit_answered>(it->result).body;
        return {errc::ok, run_state::ran, ""};
    }

    submit_engine engine;
    claim_store store;
    time_point now{from_ms(1000)};
    submit_actions out;
    bool repeated = false;
    std::string body;
};

} // namespace snipemill
