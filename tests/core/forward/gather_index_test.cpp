#include "core/forward/gather_index.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

namespace {

forward_route gather(std::string name, std::vector<std::string> shards)
{
    return {.name = std::move(name),
            .host = "h",
            .path_prefix = "/",
            .timeout = from_ms(800),
            .objective = from_ms(80),
            .target = gather_target{.shards = std::move(shards), .top = 5}};
}

} // namespace

TEST_GROUP(gather_index){};

// Guards against a relay that refuses queries during frequent manifest updates
// that leave the routes of the queries unchanged.
TEST(gather_index, a_route_has_one_fingerprint_in_all_versions)
{
    manifest const a{.version = 1, .routes = {gather("r", {"s0", "s1"})}};
    manifest const b{
        .version = 2,
        .routes = {gather("q", {"s7"}), gather("r", {"s0", "s1"})}};
    gather_index const at_host(a);
    gather_index const at_relay(b);
    auto const route_fingerprint = at_host.fingerprint(a.routes[0]);
    POINTERS_EQUAL(&b.routes[1], at_relay.find("r", route_fingerprint));
}

// Guards against merging answers of two sets of shards, and against using the
// timeout or the number of records of another manifest version.
TEST(gather_index, another_content_is_another_route)
{
    manifest const a{.routes = {gather("r", {"s0", "s1"})}};
    auto const route_fingerprint = gather_index(a).fingerprint(a.routes[0]);
    for (auto const& change :
         {gather("r", {"s0", "s2"}), gather("r", {"s0"}), gather("r", {})}) {
        manifest const b{.routes = {change}};
        POINTERS_EQUAL(nullptr, gather_index(b).find("r", route_fingerprint));
    }
    manifest later = a;
    later.routes[0].timeout = from_ms(700);
    POINTERS_EQUAL(nullptr, gather_index(later).find("r", route_fingerprint));
}

// Guards against running the wrong route when two routes share a name.
TEST(gather_index, a_name_that_two_routes_have_identifies_one_of_them)
{
    manifest const a{.routes = {gather("r", {"s0"}), gather("r", {"s1"})}};
    gather_index const index(a);
    UNSIGNED_LONGS_EQUAL(0, index.fingerprint(a.routes[0]));
    POINTERS_EQUAL(nullptr, index.find("r", 0));
}

// An index is resharded. Guards against all hosts opening connections to
// services that no route names yet, or names no longer: upstreams refused
// 28,000 connections.
TEST(gather_index, knows_the_services_of_single_requests)
{
    manifest const a{
        .routes = {gather("r", {"s0", "s1"}),
                   {.name = "single", .target = single_target{"s8"}},
                   {.name = "weighted",
                    .target = weighted_target{{{.service = "s9"}}}}}};
    CHECK((gather_index(a).single_services() ==
           std::set<std::string>{"s8", "s9"}));
}
