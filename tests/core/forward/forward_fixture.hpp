#pragma once

#include "core/forward/request_run.hpp"
#include "core/forward/service_fetch.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipemill::test {

// Exchanges that end when a test calls end().
class scripted_exchanges : public exchange_port
{
public:
    struct open_exchange
    {
        exchange_id id = 0;
        upstream_ptr to;
        std::shared_ptr<forward_request const> request;
        time_point deadline{};
        std::function<void(exchange_outcome)> on_outcome;
        std::optional<time_point> released;
    };

    exchange_id send(upstream_ptr to,
                     std::shared_ptr<forward_request const> request,
                     time_point deadline,
                     std::function<void(exchange_outcome)> on_outcome) override
    {
        all.push_back({.id = all.size() + 1,
                       .to = std::move(to),
                       .request = std::move(request),
                       .deadline = deadline,
                       .on_outcome = std::move(on_outcome)});
        return all.size();
    }
    void release(exchange_id id, time_point give_up) override
    {
        all[id - 1].released = give_up;
    }
    void end(std::size_t n, exchange_outcome outcome)
    {
        auto const on_outcome = std::exchange(all[n].on_outcome, nullptr);
        on_outcome(std::move(outcome));
    }
    std::string const& instance(std::size_t n) const
    {
        return all[n].to->record.instance;
    }

    std::vector<open_exchange> all; // in the order of send()
};

inline upstream_answer good_answer(std::string body = "")
{
    return {.status = 200, .body = std::move(body), .stamp = "p"};
}

inline upstream_answer shed_answer()
{
    return {.status = 503, .not_run = true};
}

// Services s0, s1, ... with two upstreams each, a<n> in the host's own data
// centre and b<n> in another.
struct forward_fixture
{
    static constexpr duration step = from_ms(1);

    explicit forward_fixture(std::size_t services = 1)
    {
        for (std::size_t i = 0; i < services; ++i) {
            names.push_back("s" + std::to_string(i));
            for (auto const* const dc : {"a", "b"}) {
                records.push_back(
                    {.instance = dc + std::to_string(i),
                     .service = names[i],
                     .ip = "192.0.2.1",
                     .port = static_cast<std::uint16_t>(records.size() + 1),
                     .data_centre = dc,
                     .slots = 2});
            }
        }
        update();
    }
    void update()
    {
        for (auto const& it : fleet.update(records, evacuated, now).removed) {
            shared.crashes.on_ended(lifetime_id(it->record), now);
        }
    }
    upstream_ptr upstream(std::string const& instance)
    {
        auto const it = std::find_if(
            fleet.all().begin(), fleet.all().end(),
            [&](auto const& u) { return u->record.instance == instance; });
        return it == fleet.all().end() ? nullptr : *it;
    }
    forward_route gather_route(std::size_t top = 2, double share = 0.5)
    {
        return {.name = "r",
                .kind = idempotency::idempotent,
                .timeout = from_ms(800),
                .objective = from_ms(100),
                .attempts = 2,
                .target = gather_target{.shards = names,
                                        .top = top,
                                        .min_share = share,
                                        .record_bytes = 4}};
    }
    forward_route single_route(idempotency kind)
    {
        return {.name = "r",
                .kind = kind,
                .timeout = from_ms(800),
                .objective = from_ms(100),
                .attempts = 2,
                .target = single_target{names[0]}};
    }

    std::vector<std::string> names;
    std::vector<upstream_record> records;
    std::set<std::string> evacuated;
    time_point now{from_ms(100'000)};
    scripted_exchanges exchanges;
    upstream_fleet fleet{{.data_centre = "a"}, 1};
    fetch_context shared{.fleet = fleet,
                         .exchanges = exchanges,
                         .settings = {},
                         .budget_settings = {},
                         .now = [this] { return now; }};
    request_run_settings settings;
    int next_id = 1; // of requests
};

// Runs one request on a route. Time advances only in pass().
struct run_driver
{
    run_driver(forward_fixture& f, forward_route r, fingerprint print = {})
        : fixture(f), route(std::move(r))
    {
        std::vector<std::string const*> services;
        if (auto const* const it = std::get_if<gather_target>(&route.target)) {
            for (auto const& shard : it->shards) {
                services.push_back(&shard);
            }
        }
        else {
            services.push_back(&std::get<single_target>(route.target).service);
        }
        run.emplace(request_run::options{
            .shared = &fixture.shared,
            .settings = &fixture.settings,
            .state = std::make_shared<manifest const>(),
            .route = &route,
            .services = std::move(services),
            .request = std::make_shared<forward_request const>(forward_request{
                .id = std::to_string(fixture.next_id++), .print = print}),
            .arrival = fixture.now,
            .end = fixture.now + route.timeout,
            .on_answer = [this](caller_answer a) { answer = std::move(a); }});
        run->start();
    }
    void pass(duration d)
    {
        auto const until = fixture.now + d;
        for (auto at = run->next_timer(); at && *at <= until;
             at = run->next_timer()) {
            fixture.now = std::max(fixture.now, *at);
            run->on_timer(fixture.now);
        }
        fixture.now = until;
    }
    unsigned status() const
    {
        auto const* const error = std::get_if<error_answer>(&*answer);
        return error ? error->status : 200;
    }

    forward_fixture& fixture;
    forward_route route;
    std::optional<request_run> run;
    std::optional<caller_answer> answer;
};

} // namespace snipemill::test
