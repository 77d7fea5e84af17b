#pragma once

#include "core/owner/owner_engine.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipemill {

// Configuration with one service group, one data centre and one upstream per
// service. Ids start at 1.
struct small_config
{
    std::uint32_t upstreams = 3;
    std::uint32_t slots = 2;
    std::map<std::uint32_t, upstream_state> states;
    std::map<std::uint32_t, std::string> addresses;
    bool data_centre_in = true;

    std::shared_ptr<topology const> build() const
    {
        std::map<std::string, config_object> all;
        auto const put = [&](config_object const& o) {
            all[object_key(o)] = o;
        };
        put(data_centre_object{"colombo", "western-province",
                               data_centre_in ? data_centre_state::in
                                              : data_centre_state::out});
        put(group_object{.name = "stores-desk"});
        for (std::uint32_t i = 1; i <= upstreams; ++i) {
            auto const name = "depot-" + std::to_string(i);
            put(service_object{
                .name = name, .group = "stores-desk", .slots = slots});
            upstream_object u{.id = upstream_id(i),
                              .name = name + "-a",
                              .service = name,
                              .data_centre = "colombo",
                              .address =
                                  "127.0.0.1:" + std::to_string(7000 + i)};
            if (auto const it = states.find(i); it != states.end()) {
                u.state = it->second;
            }
            if (auto const it = addresses.find(i); it != addresses.end()) {
                u.address = it->second;
            }
            put(u);
        }
        return topology::build(1, all);
    }
};

inline std::shared_ptr<routing_view const>
view_of(std::shared_ptr<topology const> const& config,
        std::vector<std::string> const& hosts, std::string const& self = "a")
{
    auto view = std::make_shared<routing_view>();
    view->self = host_id(self);
    view->config = config;
    std::vector<live_host> live;
    live.reserve(hosts.size());
    for (auto const& it : hosts) {
        live.push_back({.id = host_id(it), .data_centre = "colombo"});
    }
    view->owners = owner_table::compute(*config, live);
    return view;
}

inline query_batch batch_of(std::vector<std::uint32_t> const& targets)
{
    query_batch b{.id = request_id(1),
                  .group = "stores-desk",
                  .version = index_version(7),
                  .remaining = from_ms(500),
                  .flush_after = from_ms(100),
                  .body = "{}",
                  .limit = 10,
                  .priority = 100,
                  .print = fingerprint(11)};
    for (auto const id : targets) {
        b.targets.push_back(upstream_id(id));
    }
    return b;
}

// An answer of version 7 with one record of the partition.
inline sub_answer answer_of(std::uint32_t partition, std::string const& key,
                            double rank)
{
    partition_id const p(partition);
    return {.version = index_version(7),
            .partition_count = 8,
            .partitions = {{.id = p, .documents = 4, .matches = 1}},
            .records = {{.key = key, .rank = rank, .partition = p}}};
}

// An engine with its actions, sorted by kind.
class owner_bench
{
public:
    explicit owner_bench(owner_engine_settings const& settings = {},
                         std::uint32_t lane = 0, std::uint32_t lanes = 1)
        : engine(settings, lane, lanes, 1)
    {}

    template <class T>
    std::vector<T> all() const
    {
        std::vector<T> found;
        for (auto const& it : out) {
            if (auto const* a = std::get_if<T>(&it)) {
                found.push_back(*a);
            }
        }
        return found;
    }

    void view(small_config const& c,
              std::vector<std::string> const& hosts = {"a"})
    {
        engine.on_view(now, view_of(c.build(), hosts), out);
    }
    void batch(peer_handle peer, query_batch b)
    {
        engine.on_batch(now, peer, std::move(b), out);
    }
    void wait(duration d)
    {
        auto const until = now + d;
        while (auto const at = engine.next_timer()) {
            if (*at > until) {
                break;
            }
            now = std::max(now, *at);
            engine.on_timer(now, out);
        }
        now = until;
    }
    // Gains the upstreams of c and answers until each is warm.
    void warm_up(small_config const& c)
    {
        engine.on_view(
            now, view_of(small_config{.upstreams = 0}.build(), {"a"}), out);
        view(c);
        for (int i = 0; i < 60; ++i) {
            for (std::uint32_t id = 1; id <= c.upstreams; ++id) {
                batch(1000 + id, batch_of({id}));
            }
            wait(from_ms(5));
            answer_all();
            wait(from_ms(20));
        }
        out.clear();
    }
    // Answers what has been dispatched so far; later actions are kept.
    void answer_all()
    {
        auto const sent = all<dispatch_query>();
        out.clear();
        for (auto const& it : sent) {
            engine.on_sub_answer(now, it.handle,
                                 answer_of(it.upstream.value, "k", 1), out);
        }
    }
    upstream_gauge gauge(std::uint32_t id) const
    {
        for (auto const& it : engine.gauges()) {
            if (it.upstream.value == id) {
                return it;
            }
        }
        return {};
    }
    // Outcome of the upstream in the parts sent so far.
    std::optional<sub_outcome> outcome(std::uint32_t id) const
    {
        for (auto const& it : all<send_part>()) {
            for (auto const& r : it.part.results) {
                if (r.upstream.value == id) {
                    return r.outcome;
                }
            }
        }
        return std::nullopt;
    }
    void fail(slot_handle h, sub_outcome outcome)
    {
        engine.on_sub_failed(now, h, {.outcome = outcome}, out);
    }

    owner_engine engine;
    time_point now{from_ms(1000)};
    owner_actions out;
};

} // namespace snipemill
