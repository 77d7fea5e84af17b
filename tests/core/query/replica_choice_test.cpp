#include "core/query/replica_choice.hpp"
#include "query_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

namespace {

struct replica_case
{
    explicit replica_case(query_world const& world) : w(world), routes(w.view)
    {
        catalogue.adopt(*w.view->config);
        for (auto const& [u, versions] : w.held) {
            report(u, upstream_condition::warm, from_ms(3));
        }
    }
    void report(upstream_id u, upstream_condition condition, duration latency)
    {
        auto it = w.merged(u);
        it.condition = condition;
        it.latency = latency;
        catalogue.on_result(w.now, *routes.find(u), index_version(7), it);
    }
    // How often each upstream of the first service is chosen.
    std::map<upstream_id, int> draw(time_point now, bool hedge = false)
    {
        std::map<upstream_id, int> out;
        auto const& config = *w.view->config;
        for (int i = 0; i < 1000; ++i) {
            auto const u =
                choice.choose(now, routes, catalogue, random,
                              {.replicas = config.services()[0].upstreams,
                               .version = index_version(7),
                               .hedge = hedge});
            if (u) {
                ++out[config.upstreams()[*u].object.id];
            }
        }
        return out;
    }

    query_world const& w;
    route_table routes;
    index_catalogue catalogue;
    replica_choice choice;
    rng random{1};
};

} // namespace

TEST_GROUP(replica_choice){};

// Guards against sub-requests that cross data centres without need.
TEST(replica_choice, same_data_centre_goes_first)
{
    query_world w({.services = 1, .replicas = 4, .data_centres = 2});
    replica_case c(w);
    c.report(w.id(0, 0), upstream_condition::cold, from_ms(90));
    c.report(w.id(0, 2), upstream_condition::cold, from_ms(90));
    auto const drawn = c.draw(w.now);
    LONGS_EQUAL(2, drawn.size());
    CHECK(drawn.contains(w.id(0, 0)) && drawn.contains(w.id(0, 2)));
}

// Guards against preferring a local replica that drains: every request to it
// takes a retry, and the retry budget runs out.
TEST(replica_choice, draining_replica_goes_after_those_elsewhere)
{
    query_world w({.services = 1, .replicas = 2, .data_centres = 2});
    replica_case c(w);
    c.report(w.id(0, 0), upstream_condition::leaving, from_ms(3));
    c.report(w.id(0, 1), upstream_condition::saturated, from_ms(90));
    auto const drawn = c.draw(w.now);
    LONGS_EQUAL(1, drawn.size());
    CHECK(drawn.contains(w.id(0, 1)));
}

// Guards against work for a cold replica while a warm one is there, and
// against a replica that is avoided for ever after one bad report.
TEST(replica_choice, condition_counts_while_it_is_recent)
{
    query_world w({.services = 1});
    replica_case c(w);
    c.report(w.id(0, 1), upstream_condition::saturated, from_ms(3));
    LONGS_EQUAL(1, c.draw(w.now).size());
    auto const later = w.now + condition_expiry + from_ms(1);
    LONGS_EQUAL(2, c.draw(later).size());
}

// Guards against ignoring latency, and against starving the slower replica
// of all work, after which its latency would never be measured again.
TEST(replica_choice, faster_replica_gets_more_but_not_all)
{
    query_world w({.services = 1});
    replica_case c(w);
    for (int i = 0; i < 20; ++i) {
        c.report(w.id(0, 1), upstream_condition::warm, from_ms(30));
    }
    auto const slower = c.draw(w.now)[w.id(0, 1)];
    CHECK(slower > 150 && slower < 350);
}

// Guards against budget spent on hedges that the owner must refuse.
TEST(replica_choice, hedges_go_to_warm_replicas_only)
{
    query_world w({.services = 1});
    replica_case c(w);
    c.report(w.id(0, 0), upstream_condition::warming, from_ms(1));
    c.report(w.id(0, 1), upstream_condition::cold, from_ms(1));
    CHECK(c.draw(w.now, true).empty());
}
