#include "core/forward/floor_plan.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace snipemill;

namespace {

std::vector<fleet_host> fleet(std::size_t data_centres, std::size_t hosts)
{
    std::vector<fleet_host> out;
    for (std::size_t i = 0; i < data_centres * hosts; ++i) {
        out.push_back({.name = "h" + std::to_string(i),
                       .data_centre = "dc" + std::to_string(i % data_centres),
                       .ip = "10.0.0.1",
                       .relay_port = 7381});
    }
    return out;
}

floor_plan plan_of(std::vector<fleet_host> const& hosts, fleet_host const& own)
{
    return plan_floors(hosts, own.name, own.data_centre);
}

template <class T>
bool all_differ(std::vector<T> values)
{
    std::sort(values.begin(), values.end());
    return std::adjacent_find(values.begin(), values.end()) == values.end();
}

} // namespace

TEST_GROUP(floor_plan){};

// Load pattern: one current call for a fleet of hundreds of hosts. Guards
// against hosts that no floor reaches, and against a host that sends one
// datagram to each host of the fleet.
TEST(floor_plan, floors_of_every_host_reach_every_host_in_two_steps)
{
    auto const hosts = fleet(5, 59);
    for (std::size_t i = 0; i < hosts.size(); i += 37) {
        auto const plan = plan_of(hosts, hosts[i]);
        std::vector<std::string> reached{hosts[i].name};
        for (auto const& it : plan.data_centre) {
            reached.push_back(it.name);
        }
        for (auto const& first : plan.other_firsts) {
            reached.push_back(first.name);
            for (auto const& it : plan_of(hosts, first).data_centre) {
                reached.push_back(it.name);
            }
        }
        CHECK(all_differ(reached));
        UNSIGNED_LONGS_EQUAL(hosts.size(), reached.size());
        CHECK(plan.data_centre.size() + plan.other_firsts.size() <= 62);
    }
}

// Guards against several hosts that read the store at once in the steady state,
// and against hosts of one data centre that take over at the same moment.
TEST(floor_plan, hosts_take_over_one_after_the_other)
{
    for (auto const& hosts : {fleet(3, 2), fleet(5, 59), fleet(1, 20)}) {
        std::vector<double> places;
        for (auto const& it : hosts) {
            places.push_back(plan_of(hosts, it).place);
            CHECK(places.back() >= 0 && places.back() <= 1);
        }
        LONGS_EQUAL(1, std::count(places.begin(), places.end(), 0.0));
        CHECK(all_differ(places));
    }
}

// Guards against a host that has just started and disturbs the order.
TEST(floor_plan, a_host_without_an_entry_comes_last)
{
    DOUBLES_EQUAL(1, plan_floors(fleet(2, 3), "new", "dc1").place, 0);
    DOUBLES_EQUAL(1, plan_floors({}, "new", "dc1").place, 0);
}

// Guards against floors for hosts that take no messages of other hosts.
TEST(floor_plan, leaves_out_hosts_without_a_port)
{
    auto hosts = fleet(1, 2);
    hosts[1].relay_port = 0;
    CHECK(plan_of(hosts, hosts[0]).data_centre.empty());
}
