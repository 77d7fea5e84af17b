#include "core/forward/cut_off.hpp"
#include "forward_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::test;

TEST_GROUP(serving_ability)
{
    forward_fixture f{4};

    bool cut_off_below(double share = 0.75)
    {
        return is_cut_off({.routes = {f.gather_route(2, share)}}, f.fleet);
    }
    void make_unreachable(std::vector<std::string> const& instances)
    {
        for (auto const& it : instances) {
            f.upstream(it)->reach = reachability::unreachable;
        }
    }
};

// A data centre is cut off. Guards against hosts that stay in rotation
// and refuse what hosts of other data centres can serve.
TEST(serving_ability, without_other_data_centres_a_host_may_be_cut_off)
{
    CHECK_FALSE(cut_off_below());
    make_unreachable({"b0", "b1", "b2", "b3"});
    // The host's own data centre has a replica of each shard.
    CHECK_FALSE(cut_off_below());
    f.records.erase(f.records.begin());     // a0
    f.records.erase(f.records.begin() + 1); // a1
    f.update();
    CHECK(cut_off_below());
    CHECK_FALSE(cut_off_below(0.5));
}

// Guards against waiting until idle connections to an unresponsive data centre
// break, which takes seconds.
TEST(serving_ability, a_silent_data_centre_counts_as_lost)
{
    f.records.erase(f.records.begin());     // a0
    f.records.erase(f.records.begin() + 1); // a1
    f.update();
    make_unreachable({"b0", "b1"});
    CHECK_FALSE(cut_off_below());
    for (auto const* const it : {"b1", "b2", "b3"}) {
        f.fleet.mark_unresponsive(*f.upstream(it));
    }
    CHECK(cut_off_below());
}

// Guards against all hosts leaving rotation because upstreams are down for
// every host.
TEST(serving_ability, upstreams_that_are_down_do_not_cut_a_host_off)
{
    make_unreachable({"a0", "b0", "a1", "b1", "b2"});
    CHECK_FALSE(cut_off_below());
}

// Guards against an unused route without upstreams that takes a host out of
// rotation.
TEST(serving_ability, routes_that_nobody_serves_do_not_count)
{
    make_unreachable({"b0", "b1", "b2", "b3"});
    forward_route const idle{.target = single_target{"none"}};
    CHECK_FALSE(is_cut_off({.routes = {idle}}, f.fleet));
}
