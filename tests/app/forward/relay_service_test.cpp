#include "adapters/codec/relay_codec.hpp"
#include "adapters/forward/relay_link.hpp"
#include "app/core_time.hpp"
#include "app/forward/relay_service.hpp"
#include "core/forward/forward_fixture.hpp"
#include "support/raw_peer.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::test;

// A relay and a calling host on loopback, with scripted upstreams.
TEST_GROUP(relay_service)
{
    boost::asio::io_context io;
    forward_fixture f{2};
    run_table runs{io};
    std::optional<relay_service> service;
    std::optional<relay_link> link;
    std::vector<relay_event> events;
    std::vector<std::shared_ptr<relay_call>> calls;
    std::uint16_t port = 0;

    void setup() override
    {
        f.shared.now = core_now;
        port = free_port();
        service.emplace(io, listen_address{.ip = "127.0.0.1", .port = port},
                        runs, [this](request_run::options o) -> run_ptr {
                            o.shared = &f.shared;
                            o.settings = &f.settings;
                            for (auto const& it : f.names) {
                                o.services.push_back(&it);
                            }
                            return std::make_unique<request_run>(std::move(o));
                        });
        link.emplace(io);
    }
    std::uint16_t free_port()
    {
        boost::asio::ip::tcp::acceptor const it(
            io, {boost::asio::ip::address_v4::loopback(), 0});
        return it.local_endpoint().port();
    }
    std::shared_ptr<indexed_manifest const> manifest_with(std::uint64_t version,
                                                          std::size_t top)
    {
        auto it = std::make_shared<manifest>();
        it->version = version;
        it->routes = {f.gather_route(top)};
        return std::make_shared<indexed_manifest const>(std::move(it));
    }
    static std::uint64_t fingerprint_of(indexed_manifest const& it)
    {
        return it.gathers.fingerprint(it.state->routes[0]);
    }
    fleet_host relay() const
    {
        return {.name = "r", .ip = "127.0.0.1", .relay_port = port};
    }
    void send_query(std::uint64_t fingerprint)
    {
        calls.push_back(
            link->run(relay(),
                      {.route = "r",
                       .fingerprint = fingerprint,
                       .left = from_ms(700),
                       .attempts = 2,
                       .request = std::make_shared<forward_request const>(
                           forward_request{.id = "7"})},
                      [this](relay_event const& e) { events.push_back(e); }));
    }
    void probe()
    {
        calls.push_back(link->probe(
            relay(), [this](relay_event const& e) { events.push_back(e); }));
    }
    bool wait_events(std::size_t n)
    {
        return run_until(io, [&] { return events.size() == n; });
    }
    bool wait_attempts(std::size_t n)
    {
        return run_until(io, [&] { return f.exchanges.all.size() == n; });
    }
    relay_refusal refusal(std::size_t n) const
    {
        return std::get<relay_refused>(events[n]).reason;
    }
};

// Guards against a relay that runs a query without accepting it first (the
// calling host waits for the acceptance), and against an answer without the
// stamps of the shards.
TEST(relay_service, accepts_a_query_before_it_answers)
{
    auto const current = manifest_with(2, 2);
    service->set_manifest(current);
    send_query(fingerprint_of(*current));
    CHECK(wait_events(1));
    CHECK(std::holds_alternative<relay_accepted>(events[0]));
    CHECK(wait_attempts(2));
    f.exchanges.end(0, good_answer("abcd"));
    f.exchanges.end(1, good_answer("efgh"));
    CHECK(wait_events(2));
    auto const& answer = std::get<relay_answer>(events[1]);
    auto const& merged = std::get<merged_answer>(answer.answer);
    STRCMP_EQUAL("efghabcd", merged.body.c_str());
    UNSIGNED_LONGS_EQUAL(2, merged.stamps.size());
    UNSIGNED_LONGS_EQUAL(2, answer.summary.services_answered);
}

// Guards against an answer with other shards or another limit than in the
// manifest in force at the calling host, when the relay has another manifest.
TEST(relay_service, refuses_a_route_that_it_does_not_have)
{
    service->set_manifest(manifest_with(2, 2));
    send_query(fingerprint_of(*manifest_with(3, 9)));
    CHECK(wait_events(1));
    CHECK(refusal(0) == relay_refusal::other_route);
    CHECK(f.exchanges.all.empty());
}

// Guards against refused queries when manifests follow one another quickly and
// the calling host applies a version slightly later than the relay.
TEST(relay_service, runs_the_route_of_the_version_before_for_a_moment)
{
    auto const before = manifest_with(2, 2);
    service->set_manifest(before);
    service->set_manifest(manifest_with(3, 9));
    send_query(fingerprint_of(*before));
    CHECK(wait_events(1));
    CHECK(std::holds_alternative<relay_accepted>(events[0]));
    run_until(
        io, [] { return false; }, std::chrono::seconds(1));
    send_query(fingerprint_of(*before));
    CHECK(run_until(io, [&] {
        return std::holds_alternative<relay_refused>(events.back());
    }));
}

// Guards against work at upstreams for a caller that has disconnected.
TEST(relay_service, a_cancelled_query_is_released_at_its_upstreams)
{
    auto const current = manifest_with(2, 2);
    service->set_manifest(current);
    send_query(fingerprint_of(*current));
    CHECK(wait_attempts(2));
    calls[0]->cancel();
    CHECK(run_until(io, [&] {
        return f.exchanges.all[0].released && f.exchanges.all[1].released;
    }));
}

// Guards against queries to a relay that is draining, is cut off or has not
// read a manifest yet: its probes must return the reason of the refusal.
TEST(relay_service, probes_tell_why_no_query_is_taken)
{
    probe();
    CHECK(wait_events(1));
    CHECK(refusal(0) == relay_refusal::leaving);
    service->set_manifest(manifest_with(2, 2));
    probe();
    CHECK(wait_events(2));
    CHECK(std::holds_alternative<relay_accepted>(events[1]));
    service->set_cut_off(true);
    probe();
    CHECK(wait_events(3));
    CHECK(refusal(2) == relay_refusal::cut_off);
    service->start_draining();
    probe();
    CHECK(wait_events(4));
    CHECK(refusal(3) == relay_refusal::leaving);
}
