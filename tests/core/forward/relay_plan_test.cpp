#include "core/forward/relay_plan.hpp"

#include <algorithm>
#include <set>

// Included after the standard headers: CppUTest defines a macro named new, with
// which these do not compile.
#include <CppUTest/TestHarness.h>

using namespace snipemill;

namespace {

// Data centres "a", "b", ... with two strong hosts and some weak ones each.
std::vector<fleet_host> fleet(int data_centres, int weak)
{
    std::vector<fleet_host> out;
    for (int dc = 0; dc < data_centres; ++dc) {
        for (int i = 0; i < weak + 2; ++i) {
            out.push_back(
                {.name = std::string(1, static_cast<char>('a' + dc)) +
                         std::to_string(i),
                 .data_centre = std::string(1, static_cast<char>('a' + dc)),
                 .ip = "192.0.2.1",
                 .relay_port = 7,
                 .cores = i < 2 ? 0.5 : 0.12});
        }
    }
    return out;
}

std::set<std::string> names(relay_plan const& plan)
{
    std::set<std::string> out;
    for (auto const& it : plan.candidates) {
        out.insert(it.name);
    }
    return out;
}

} // namespace

TEST_GROUP(relay_plan){};

// Guards against an additional hop in fleets that are small enough for direct
// runs.
TEST(relay_plan, small_fleets_send_directly)
{
    auto const plan = plan_relays(fleet(3, 2), "a0", "a");
    UNSIGNED_LONGS_EQUAL(0, plan.relays);
    CHECK(plan.candidates.empty());
}

// Many small hosts get fan-out queries. Guards against relays that are as
// weak as the hosts that use them.
TEST(relay_plan, relays_are_the_strongest_hosts_of_each_data_centre)
{
    auto const hosts = fleet(3, 20);
    auto const plan = plan_relays(hosts, "a7", "a");
    UNSIGNED_LONGS_EQUAL(6, plan.relays);
    CHECK_FALSE(plan.is_relay);
    // Relays of the own data centre first, then some of other data centres.
    UNSIGNED_LONGS_EQUAL(5, plan.candidates.size());
    auto const candidates = names(plan);
    CHECK(candidates.contains("a0") && candidates.contains("a1"));
    STRCMP_EQUAL("a", plan.candidates[0].data_centre.c_str());
    STRCMP_EQUAL("a", plan.candidates[1].data_centre.c_str());
    CHECK(plan_relays(hosts, "b1", "b").is_relay);
}

// All hosts are weak. Guards against a few weak relays that run all queries.
TEST(relay_plan, equal_hosts_give_relays_a_quarter_of_the_processor_share)
{
    auto hosts = fleet(3, 18);
    for (auto& it : hosts) {
        it.cores = 0.12;
    }
    UNSIGNED_LONGS_EQUAL(15, plan_relays(hosts, "a7", "a").relays);
}

// Relays restart in turn. Guards against a weak host in place of a strong
// one: a weak relay needs longer than accept_timeout to accept queries.
TEST(relay_plan, no_weak_host_replaces_a_strong_one)
{
    auto hosts = fleet(3, 20);
    hosts.erase(hosts.begin(), hosts.begin() + 2);
    auto const plan = plan_relays(hosts, "a7", "a");
    UNSIGNED_LONGS_EQUAL(4, plan.relays);
    for (auto const& it : plan.candidates) {
        CHECK(it.cores > 0.4);
    }
}

// Guards against hosts that disagree on the relays.
TEST(relay_plan, does_not_depend_on_the_order_of_the_entries)
{
    auto hosts = fleet(3, 20);
    auto const before = plan_relays(hosts, "b9", "b");
    std::reverse(hosts.begin(), hosts.end());
    CHECK(before == plan_relays(hosts, "b9", "b"));
}

// Guards against queries sent to a host of an older version, whose entry has no
// relay port.
TEST(relay_plan, hosts_without_a_port_are_no_relays)
{
    auto hosts = fleet(3, 20);
    hosts[0].relay_port = 0;
    auto const plan = plan_relays(hosts, "a9", "a");
    CHECK_FALSE(names(plan).contains("a0"));
    CHECK(names(plan).contains("a1"));
    CHECK_FALSE(plan_relays(hosts, "a0", "a").is_relay);
}

// Hosts restart in turn. Guards against a host that opens connections to
// every shard because its own entry is not in the store, while it is draining
// or has just started.
TEST(relay_plan, an_unlisted_host_uses_the_relays_of_its_data_centre)
{
    auto const plan = plan_relays(fleet(3, 20), "gone", "a");
    UNSIGNED_LONGS_EQUAL(6, plan.relays);
    CHECK_FALSE(plan.is_relay);
    CHECK(names(plan).contains("a0") && names(plan).contains("a1"));
    STRCMP_EQUAL("a", plan.candidates[0].data_centre.c_str());
}

// A data centre holds no shards. Guards against relays there, which would send
// a request for each shard to other data centres, and against its hosts being
// left without a relay.
TEST(relay_plan, data_centres_without_shards_use_relays_near_the_shards)
{
    auto const hosts = fleet(4, 20);
    std::set<std::string> const with_shards{"a", "b", "c"};
    auto const plan = plan_relays(hosts, "d7", "d", with_shards);
    UNSIGNED_LONGS_EQUAL(6, plan.relays);
    UNSIGNED_LONGS_EQUAL(3, plan.candidates.size());
    for (auto const& it : plan.candidates) {
        CHECK(it.data_centre != "d");
    }
    CHECK_FALSE(plan_relays(hosts, "d0", "d", with_shards).is_relay);
    // The others use the relays of their own data centre first, as before.
    auto const near = plan_relays(hosts, "a7", "a", with_shards);
    STRCMP_EQUAL("a", near.candidates[0].data_centre.c_str());
    STRCMP_EQUAL("a", near.candidates[1].data_centre.c_str());
}

// Guards against relays that move whenever some upstreams restart, and against
// counting the upstreams of services that every host uses.
TEST(relay_plan, a_data_centre_that_lost_half_of_its_upstreams_holds_shards)
{
    std::vector<upstream_record> upstreams;
    auto const add = [&](std::string const& service, std::string const& dc,
                         int n) {
        for (int i = 0; i < n; ++i) {
            upstreams.push_back({.service = service, .data_centre = dc});
        }
    };
    add("s1", "a", 40);
    add("s2", "b", 20);
    add("s3", "c", 2);
    add("single", "d", 90);
    CHECK((shard_data_centres(upstreams, {"single"}) ==
           std::set<std::string>{"a", "b"}));
    CHECK(shard_data_centres({}, {"single"}).empty());
}
