#include "adapters/platform/platform_client.hpp"
#include "support/raw_peer.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <optional>

using namespace snipemill;
using namespace snipemill::test;

namespace {

std::string answer(std::string const& status, std::string const& body = "")
{
    return "HTTP/1.1 " + status +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

std::string const object =
    R"({"key":"config/head","version":4,"revision":91,"value":"{}"})";

} // namespace

TEST_GROUP(platform_client)
{
    boost::asio::io_context io;
    raw_server server{io};
    std::optional<platform_client> client;
    std::vector<platform_result<platform_object>> results;
    std::vector<platform_result<platform_listing>> listings;
    std::vector<bool> states;
    std::size_t asked = 0; // requests that the server has answered

    void start(platform_client_options options = {})
    {
        options.port = server.port();
        client.emplace(io, options,
                       [this](bool state) { states.push_back(state); });
    }
    auto keep()
    {
        return [this](platform_result<platform_object> r) {
            results.push_back(std::move(r));
        };
    }
    auto keep_listing()
    {
        return [this](platform_result<platform_listing> r) {
            listings.push_back(std::move(r));
        };
    }
    // Waits for a request on any connection and returns the connection.
    std::shared_ptr<raw_peer> wait_request()
    {
        std::shared_ptr<raw_peer> found;
        CHECK(run_until(io, [&] {
            std::size_t n = 0;
            for (auto const& it : server.peers) {
                auto const here = it->count("HTTP/1.1\r\n");
                n += here;
                if (here > 0 && !it->closed) {
                    found = it;
                }
            }
            return n > asked;
        }));
        ++asked;
        return found;
    }
    bool wait_results(std::size_t n)
    {
        return run_until(io, [&] { return results.size() == n; });
    }
    platform_error error(std::size_t i)
    {
        CHECK(std::holds_alternative<platform_error>(results[i]));
        return std::get<platform_error>(results[i]);
    }
    void teardown() override
    {
        client.reset();
        server.close();
        io.restart();
        io.poll();
    }
};

// Guards against calls or answers that differ from the platform's protocol.
TEST(platform_client, calls_follow_the_protocol)
{
    start();
    client->get("config/head", keep());
    LONGS_EQUAL(0, results.size());
    auto const peer = wait_request();
    CHECK(peer->has("GET /objects/config%2Fhead HTTP/1.1\r\n"));
    peer->send(answer("200 OK", object));
    CHECK(wait_results(1));
    auto const got = std::get<platform_object>(results[0]);
    CHECK(got.key == "config/head" && got.value == "{}");
    CHECK(got.version == 4 && got.revision == 91);

    client->put("config/head", "{\"n\":1}", 4, keep());
    wait_request()->send(
        answer("200 OK", R"({"key":"k","version":5,"revision":92})"));
    CHECK(wait_results(2));
    CHECK(std::get<platform_object>(results[1]).version == 5);
    CHECK(peer->has("PUT /objects/config%2Fhead HTTP/1.1\r\n"));
    CHECK(peer->has("If-Match: 4\r\n"));

    client->put("claims/g/1", "{}", 0, keep());
    wait_request()->send(answer("412 Precondition Failed", object));
    CHECK(wait_results(3));
    CHECK(peer->has("If-None-Match: *\r\n"));
    CHECK(error(2) == platform_error::conflict);

    client->remove("k", 7, keep());
    wait_request()->send(answer("404 Not Found"));
    CHECK(wait_results(4));
    CHECK(error(3) == platform_error::not_found);

    client->list("claims/", keep_listing());
    wait_request()->send(
        answer("200 OK", R"({"revision":91,"objects":[)" + object + "]}"));
    CHECK(run_until(io, [&] { return listings.size() == 1; }));
    CHECK(std::get<platform_listing>(listings[0]).objects.size() == 1);
    CHECK(peer->has("GET /objects?prefix=claims%2F "));

    std::vector<platform_host> hosts;
    client->hosts([&](platform_result<std::vector<platform_host>> r) {
        hosts = std::get<std::vector<platform_host>>(std::move(r));
    });
    wait_request()->send(answer(
        "200 OK", R"({"hosts":[{"name":"a","data_centre":"c","ip":"127.0.0.1",)"
                  R"("peer_port":7101,"leaving":true}]})"));
    CHECK(run_until(io, [&] { return hosts.size() == 1; }));
    CHECK(hosts[0].peer_port == 7101 && hosts[0].leaving);
    LONGS_EQUAL(2, client->counters().puts);
    LONGS_EQUAL(1, client->counters().host_lists);
}

// Guards against calls whose bytes are missing from the control traffic.
TEST(platform_client, counts_the_bytes_of_calls_and_watches)
{
    start();
    auto const text = answer("200 OK", object);
    client->get("config/head", keep());
    auto const peer = wait_request();
    peer->send(text);
    CHECK(wait_results(1));
    auto const called = client->bytes();
    LONGS_EQUAL(peer->in.size(), called.sent);
    LONGS_EQUAL(text.size(), called.received);

    auto const listing = answer("200 OK", R"({"revision":92,"objects":[]})");
    client->watch("config/head", 91, from_ms(1000), keep_listing());
    auto const watch = wait_request();
    watch->send(listing);
    CHECK(run_until(io, [&] { return listings.size() == 1; }));
    LONGS_EQUAL(called.sent + watch->in.size(), client->bytes().sent);
    LONGS_EQUAL(called.received + listing.size(), client->bytes().received);
}

// Guards against a write reported as without effect although it may have
// taken effect, and against ambiguous reads.
TEST(platform_client, maps_failures_of_writes_and_reads)
{
    start({.breaker_failures = 100});
    std::vector<
        std::tuple<std::string, platform_error, platform_error>> const cases = {
        {answer("429 Slow"), platform_error::not_sent,
         platform_error::not_sent},
        {answer("503 No"), platform_error::not_sent, platform_error::not_sent},
        {answer("413 Large"), platform_error::refused, platform_error::refused},
        {answer("500 Fault"), platform_error::ambiguous,
         platform_error::not_sent},
        {answer("200 OK", "{nonsense"), platform_error::ambiguous,
         platform_error::not_sent},
        {"", platform_error::ambiguous, platform_error::not_sent},
    };
    for (auto const& [text, of_write, of_read] : cases) {
        for (bool const write : {true, false}) {
            auto const n = results.size();
            if (write) {
                client->put("k", "{}", 1, keep());
            }
            else {
                client->get("k", keep());
            }
            auto const peer = wait_request();
            if (text.empty()) {
                peer->reset();
            }
            else {
                peer->send(text);
            }
            CHECK(wait_results(n + 1));
            CHECK(error(n) == (write ? of_write : of_read));
        }
    }
    LONGS_EQUAL(3, client->counters().ambiguous);
}

// Guards against a write that waits for ever for its answer.
TEST(platform_client, write_without_answer_is_ambiguous)
{
    start({.call_timeout = from_ms(1000)});
    client->put("k", "{}", 1, keep());
    wait_request();
    CHECK(wait_results(1));
    CHECK(error(0) == platform_error::ambiguous);
}

// Guards against calls above the budget.
TEST(platform_client, calls_above_the_budget_are_not_sent)
{
    start({.calls_per_second = 0.001, .burst = 2});
    for (int i = 0; i < 4; ++i) {
        client->get("config/head", keep());
    }
    CHECK(wait_results(2));
    CHECK(error(0) == platform_error::not_sent);
    LONGS_EQUAL(2, client->counters().not_sent_budget);
}

// Guards against claims that wait behind the budget of the configuration.
TEST(platform_client, claims_have_a_budget_of_their_own)
{
    start({.calls_per_second = 0.001, .burst = 1});
    client->get("config/head", keep());
    client->get("config/head", keep());
    client->get("claims/g/1", keep());
    wait_request();
    wait_request();
    CHECK(wait_results(1));
    LONGS_EQUAL(1, client->counters().not_sent_budget);
}

// Guards against calls that hammer a platform that is down, and against a
// client that never finds out that it is back.
TEST(platform_client, breaker_opens_and_closes)
{
    auto const port = server.port();
    start({.burst = 100,
           .breaker_failures = 3,
           .breaker_open = from_ms(20),
           .breaker_max = from_ms(40)});
    CHECK(client->reachable());
    server.close();
    for (std::size_t i = 0; i < 3; ++i) {
        client->put("k", "{}", 1, keep());
        CHECK(wait_results(i + 1));
        CHECK(error(i) == platform_error::not_sent);
    }
    CHECK(!client->reachable());
    CHECK(states == std::vector<bool>{false});
    client->get("k", keep());
    CHECK(wait_results(4));
    LONGS_EQUAL(1, client->counters().not_sent_breaker);
    // Trials fail, and the breaker stays open.
    CHECK(run_until(io, [&] { return client->counters().gets >= 4; }));
    LONGS_EQUAL(1, states.size());

    boost::asio::ip::tcp::acceptor back(
        io, {boost::asio::ip::address_v4::loopback(), port});
    std::shared_ptr<raw_peer> peer;
    back.async_accept(
        [&](boost::system::error_code ec, raw_peer::socket_type socket) {
            CHECK(!ec);
            peer = std::make_shared<raw_peer>(std::move(socket));
            peer->read();
        });
    CHECK(run_until(io, [&] { return peer && peer->has("\r\n\r\n"); }));
    peer->send(answer("404 Not Found"));
    CHECK(run_until(io, [&] { return client->reachable(); }));
    CHECK((states == std::vector<bool>{false, true}));
}

// Guards against a waiting watch that holds up other calls.
TEST(platform_client, watch_has_a_connection_of_its_own)
{
    start({.max_connections = 1});
    client->watch("config/", 91, from_ms(20'000), keep_listing());
    auto const watching = wait_request();
    CHECK(watching->has(
        "GET /watch?prefix=config%2F&after=91&timeout_ms=20000 "));
    client->get("k", keep());
    CHECK(run_until(io, [&] {
        return server.peers.size() == 2 && server.peers[1]->has("GET");
    }));
    server.peers[1]->send(answer("200 OK", object));
    CHECK(wait_results(1));
    watching->send(answer("200 OK", R"({"revision":95,"objects":[]})"));
    CHECK(run_until(io, [&] { return listings.size() == 1; }));
    CHECK(std::get<platform_listing>(listings[0]).revision == 95);
}

// Guards against callbacks that are kept, with all that they hold, after the
// client is gone and the io_context does not run again.
TEST(platform_client, destruction_releases_the_callbacks)
{
    start();
    auto const held = std::make_shared<int>(0);
    client->get("k", [held](platform_result<platform_object> const&) {});
    client->watch("config/", 91, from_ms(20'000),
                  [held](platform_result<platform_listing> const&) {});
    wait_request();
    wait_request();
    CHECK(held.use_count() > 2);
    client.reset();
    LONGS_EQUAL(1, held.use_count());
}

// Guards against a store that sends bytes without end, on calls and on watches:
// together they use up the memory of the host.
TEST(platform_client, bounds_the_memory_of_all_answers_together)
{
    start({.max_answer = 100'000});
    for (std::size_t i = 0; i < 2; ++i) {
        client->list("config/", keep_listing());
        client->watch("config/", 3, from_ms(20'000), keep_listing());
    }
    CHECK(run_until(io, [&] {
        return server.peers.size() == 4 &&
               std::all_of(server.peers.begin(), server.peers.end(),
                           [](auto const& it) { return it->has("GET /"); });
    }));
    for (auto const& it : server.peers) {
        it->send("HTTP/1.1 200 OK\r\n\r\n" + std::string(60'000, ' '));
    }
    CHECK(run_until(io, [&] { return listings.size() == 3; }));
    for (auto const& it : listings) {
        CHECK(std::holds_alternative<platform_error>(it));
    }
}
