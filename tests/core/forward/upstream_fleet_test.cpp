#include "forward_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::test;

TEST_GROUP(upstream_fleet)
{
    forward_fixture f;

    std::string choose()
    {
        choice_failure why{};
        auto const it =
            f.fleet.choose({.service = f.names.data(), .now = f.now}, why);
        return it                                 ? it->record.instance
               : why == choice_failure::saturated ? "saturated"
                                                  : "none";
    }
};

// Guards against needless traffic between data centres.
TEST(upstream_fleet, prefers_the_own_data_centre)
{
    STRCMP_EQUAL("a0", choose().c_str());
}

// An upstream pauses. Guards against requests that queue behind an
// unresponsive upstream, and against avoiding the upstream after it has
// answered again.
TEST(upstream_fleet, avoids_a_silent_upstream_until_it_answers)
{
    auto const a = f.upstream("a0");
    auto const start = f.now;
    a->sent(start);
    f.now += from_ms(35);
    STRCMP_EQUAL("b0", choose().c_str());
    a->answered(start, f.now, 1);
    STRCMP_EQUAL("a0", choose().c_str());
}

// An upstream is ten times slower. Guards against sending to the slow
// replica while another one is fast, and against never trying the slow replica
// again.
TEST(upstream_fleet, avoids_a_slow_upstream_for_a_time)
{
    auto const a = f.upstream("a0");
    for (int i = 0; i < 5; ++i) {
        a->sent(f.now);
        a->answered(f.now, f.now, 10);
    }
    STRCMP_EQUAL("b0", choose().c_str());
    f.now += from_ms(15'000);
    STRCMP_EQUAL("a0", choose().c_str());
}

// An upstream fails part of its requests while its health check passes. Guards
// against choosing this upstream while another replica has no failures.
TEST(upstream_fleet, avoids_a_failing_upstream)
{
    auto const a = f.upstream("a0");
    for (int i = 0; i < 3; ++i) {
        a->sent(f.now);
        a->failed(f.now, f.now);
    }
    STRCMP_EQUAL("b0", choose().c_str());
}

// A data centre is cut off and its connections hang. Guards against each
// service waiting for its own time-out.
TEST(upstream_fleet, suspects_a_data_centre_whose_upstreams_are_silent)
{
    forward_fixture many_services(4);
    for (auto const* const it : {"a0", "a1", "a2"}) {
        many_services.fleet.mark_unresponsive(*many_services.upstream(it));
    }
    choice_failure why{};
    choice_request const request{.service = &many_services.names[3],
                                 .now = many_services.now};
    STRCMP_EQUAL(
        "b3",
        many_services.fleet.choose(request, why)->record.instance.c_str());
    many_services.fleet.mark_responsive(*many_services.upstream("a1"));
    STRCMP_EQUAL(
        "a3",
        many_services.fleet.choose(request, why)->record.instance.c_str());
}

// Guards against new requests to upstreams that are draining, are evacuated,
// answer as another instance or cannot be connected.
TEST(upstream_fleet, uses_no_upstream_that_may_not_be_used)
{
    f.records[0].draining = true;
    f.update();
    STRCMP_EQUAL("b0", choose().c_str());
    f.evacuated.insert("b");
    f.update();
    STRCMP_EQUAL("none", choose().c_str());
    CHECK_FALSE(f.fleet.available("s0", f.now));
    f.evacuated.clear();
    f.update();
    f.upstream("b0")->address_reused = true;
    STRCMP_EQUAL("none", choose().c_str());
    f.upstream("b0")->address_reused = false;
    f.upstream("b0")->reach = reachability::unreachable;
    STRCMP_EQUAL("none", choose().c_str());
}

// Guards against a restarted upstream that inherits the state of the process
// before.
TEST(upstream_fleet, a_restarted_instance_is_a_new_upstream)
{
    auto const before = f.upstream("a0");
    before->address_reused = true;
    f.records[0].started_ms = 5;
    auto const changes = f.fleet.update(f.records, {}, f.now);
    UNSIGNED_LONGS_EQUAL(1, changes.added.size());
    UNSIGNED_LONGS_EQUAL(1, changes.removed.size());
    CHECK_FALSE(before->listed);
    STRCMP_EQUAL("a0", choose().c_str());
}

// Guards against more requests to an upstream than this host's share of its
// connections.
TEST(upstream_fleet, keeps_to_the_share_of_connections)
{
    f.fleet.set_services({{.name = "s0", .max_connections = 16}});
    f.fleet.set_sharing({.hosts = 8});
    f.upstream("b0")->address_reused = true;
    auto const a = f.upstream("a0");
    a->sent(f.now);
    STRCMP_EQUAL("a0", choose().c_str());
    a->sent(f.now);
    STRCMP_EQUAL("saturated", choose().c_str());
}

// Many hosts share few connections. Guards against more hosts at an upstream
// than it accepts connections, and against a host with a single replica.
TEST(upstream_fleet, many_hosts_divide_the_replicas_of_a_service)
{
    constexpr int hosts = 90;
    std::vector<upstream_record> records;
    for (auto const* const dc : {"a", "b", "c"}) {
        records.push_back({.instance = dc, .service = "s", .data_centre = dc});
    }
    std::map<std::string, int> users;
    for (int i = 0; i < hosts; ++i) {
        upstream_fleet fleet({.host = "h" + std::to_string(i),
                              .data_centre = std::string(1, "abc"[i % 3])},
                             1);
        fleet.set_services({{.name = "s", .max_connections = 64}});
        fleet.update(records, {}, f.now);
        fleet.set_sharing({.hosts = hosts});
        int n = 0;
        for (auto const& it : fleet.all()) {
            n += it->in_subset ? 1 : 0;
            users[it->record.instance] += it->in_subset ? 1 : 0;
            CHECK(it->in_subset ||
                  it->record.data_centre != fleet.settings().data_centre);
        }
        LONGS_EQUAL(2, n);
    }
    for (auto const& [instance, n] : users) {
        CHECK(n > 45 && n <= 64);
    }
}

// Many small hosts get fan-out queries. Guards against connections from hosts
// that are served by relays, and against relays that together use all
// connections of an upstream.
TEST(upstream_fleet, relays_share_the_connections_of_shards)
{
    f.fleet.set_services({{.name = "s0", .max_connections = 20}});
    auto const a = f.upstream("a0");
    f.fleet.set_sharing(
        {.hosts = 60, .relays = 4, .relay = true, .single_services = {"s1"}});
    CHECK(a->in_subset);
    UNSIGNED_LONGS_EQUAL(4, f.fleet.connection_limit(*a));
    f.fleet.set_sharing({.hosts = 60, .relays = 4, .single_services = {"s1"}});
    CHECK_FALSE(a->in_subset);
    UNSIGNED_LONGS_EQUAL(1, f.fleet.connection_limit(*a));
    // Without a reachable relay, the host sends directly.
    STRCMP_EQUAL("a0", choose().c_str());
}

// Guards against relays replacing hosts for services of routes that are not
// gather routes.
TEST(upstream_fleet, relays_change_nothing_for_other_services)
{
    f.fleet.set_services({{.name = "s0", .max_connections = 180}});
    f.fleet.set_sharing({.hosts = 60, .relays = 4, .single_services = {"s0"}});
    CHECK(f.upstream("a0")->in_subset);
    UNSIGNED_LONGS_EQUAL(3, f.fleet.connection_limit(*f.upstream("a0")));
}

// Guards against retry storms by hosts that divide the retry budget by an
// outdated number of hosts.
TEST(upstream_fleet, extra_sends_are_divided_by_the_hosts_that_may_send)
{
    f.fleet.set_sharing(
        {.hosts = 60, .relays = 4, .relay = true, .single_services = {"s1"}});
    DOUBLES_EQUAL(4, f.fleet.retrying_hosts("s0"), 0);
    DOUBLES_EQUAL(60, f.fleet.retrying_hosts("s1"), 0);
    f.fleet.set_sharing({.hosts = 60, .relays = 4, .single_services = {"s1"}});
    DOUBLES_EQUAL(60, f.fleet.retrying_hosts("s0"), 0);
}

// Cold upstreams collapse under their usual load. Guards against more
// requests per second to a cold upstream than this host's share.
TEST(upstream_fleet, paces_a_cold_upstream)
{
    f.fleet.set_services({{.name = "s0", .cold_rate = 40}});
    f.records[0].cold_left = from_ms(3000);
    f.records[1].draining = true;
    f.update();
    STRCMP_EQUAL("a0", choose().c_str());
    STRCMP_EQUAL("saturated", choose().c_str());
    f.now += from_ms(200); // 8 hosts, the default, share 40/s
    STRCMP_EQUAL("a0", choose().c_str());
    f.now += from_ms(3000); // warm
    STRCMP_EQUAL("a0", choose().c_str());
    STRCMP_EQUAL("a0", choose().c_str());
}

// An upstream turns cold while its data centre is evacuated, and its entry does
// not show so yet when the evacuation is taken back. Guards against the full
// share at once.
TEST(upstream_fleet, an_upstream_that_is_taken_back_counts_as_cold)
{
    f.fleet.set_services({{.name = "s0", .cold_rate = 40}});
    auto const sends = [&](duration time) {
        std::size_t n = 0;
        for (auto const end = f.now + time; f.now < end; f.now += from_ms(1)) {
            n += choose() == "a0" ? 1U : 0U;
        }
        return n;
    };
    CHECK(sends(from_ms(1000)) > 100);
    f.evacuated = {"a"};
    f.update();
    UNSIGNED_LONGS_EQUAL(0, sends(from_ms(1000)));
    f.evacuated.clear();
    f.update();
    // This host's share of 40 requests/s among 8 hosts.
    CHECK(sends(from_ms(1000)) <= 6);
    // The report that shows the upstream cold arrives.
    f.records[0].cold_left = from_ms(6000);
    f.update();
    CHECK(sends(from_ms(5000)) <= 26);
    CHECK(sends(from_ms(1000)) <= 6);
    f.now += from_ms(1000);
    CHECK(sends(from_ms(1000)) > 100);
}

// Guards against an upstream that stays paced although it has never been cold.
TEST(upstream_fleet, an_upstream_that_is_taken_back_warm_is_used_in_full)
{
    f.fleet.set_services({{.name = "s0", .cold_rate = 40}});
    f.evacuated = {"a"};
    f.update();
    f.evacuated.clear();
    f.update();
    CHECK(f.upstream("a0")->cold(f.now));
    f.now += f.fleet.settings().report_delay;
    CHECK_FALSE(f.upstream("a0")->cold(f.now));
}
