#include "load_simulation.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdio>

using namespace snipemill;
using namespace snipemill::test;

namespace {

struct both_scores
{
    load_result before;
    load_result after;
};

void print(load_scenario const& s, load_result const& it)
{
    std::printf("| %s | %s | %.1f | %.1f | %.2f | %.2f | %.1f | %.1f |\n",
                s.name.c_str(), s.reports_speed ? "new" : "old", it.p50, it.p99,
                100 * it.in_time, 100 * it.complete, 100 * it.remote,
                100 * it.hedges);
}

// Runs the same load on both scores and prints a row of the table in
// docs/design/placement.md for each.
both_scores compare(load_scenario s)
{
    both_scores out;
    s.reports_speed = false;
    out.before = simulate(s);
    print(s, out.before);
    s.reports_speed = true;
    out.after = simulate(s);
    print(s, out.after);
    return out;
}

void check_better(both_scores const& it)
{
    CHECK(it.after.p99 < it.before.p99);
    CHECK(it.after.in_time >= it.before.in_time);
    CHECK(it.after.hedges <= it.before.hedges);
}

load_scenario wide_queries()
{
    return {.hosts = 8,
            .services = 90,
            .replicas = 3,
            .uneven = true,
            .slow_share = 0.05,
            .pause = from_ms(200)};
}

} // namespace

// Each test guards against a choice of replicas that keeps callers waiting for
// longer than the score by latency ratio and queue did.
TEST_GROUP(placement_load){};

TEST(placement_load, equal_replicas)
{
    check_better(compare({.name = "equal replicas"}));
}

TEST(placement_load, uneven_speeds)
{
    check_better(compare({.name = "uneven speeds", .uneven = true}));
}

TEST(placement_load, momentary_slow_downs)
{
    check_better(compare({.name = "slow-downs", .slow_share = 0.15}));
}

TEST(placement_load, mixed_costs)
{
    check_better(compare({.name = "mixed costs", .heavy_share = 0.15}));
}

TEST(placement_load, stale_reports)
{
    check_better(compare({.name = "stale reports, 73 hosts",
                          .hosts = 73,
                          .uneven = true,
                          .slow_share = 0.15}));
}

// Guards against herding: hosts that act at once on what they know.
TEST(placement_load, all_hosts_at_once)
{
    check_better(compare({.name = "60 hosts at once, 30 replicas",
                          .hosts = 60,
                          .replicas = 30,
                          .in_bursts = true}));
}

// Guards against hedges that overload upstreams, and against hosts that prefer
// replicas which they have not heard of for long.
TEST(placement_load, high_load_of_mixed_costs)
{
    auto const it = compare({.name = "75 % of slots, mixed costs",
                             .hosts = 60,
                             .replicas = 30,
                             .utilisation = 0.75,
                             .heavy_share = 0.1});
    check_better(it);
    CHECK(it.after.remote <= it.before.remote);
}

TEST(placement_load, all_together)
{
    check_better(compare({.name = "all together, with pauses",
                          .hosts = 24,
                          .utilisation = 0.45,
                          .heavy_share = 0.15,
                          .uneven = true,
                          .slow_share = 0.1,
                          .pause = from_ms(200)}));
}

// Guards against requests that go to other data centres at low load.
TEST(placement_load, few_long_requests)
{
    auto const it = compare({.name = "single, 160 ms, 6 % of slots",
                             .hosts = 73,
                             .replicas = 13,
                             .utilisation = 0.06,
                             .work_ms = 160,
                             .uneven = true,
                             .slow_share = 0.1,
                             .objective = from_ms(1200),
                             .length = from_ms(120'000)});
    check_better(it);
    CHECK(it.after.remote < 0.05);
}

// Guards against merged answers that lack shards because hedges start too late
// or go to upstreams that pause.
TEST(placement_load, wide_queries_of_20_ms)
{
    auto s = wide_queries();
    s.name = "wide, 20 ms, objective 200 ms";
    s.utilisation = 0.055;
    s.objective = from_ms(200);
    s.length = from_ms(30'000);
    auto const it = compare(s);
    check_better(it);
    CHECK(it.after.complete >= it.before.complete);
}

TEST(placement_load, wide_queries_of_7_ms)
{
    auto s = wide_queries();
    s.name = "wide, 6.7 ms, objective 50 ms";
    s.utilisation = 0.02;
    s.work_ms = 6.7;
    s.objective = from_ms(50);
    s.min_share = 0.85;
    s.length = from_ms(30'000);
    auto const it = compare(s);
    check_better(it);
    CHECK(it.after.complete >= it.before.complete);
}

TEST(placement_load, wide_queries_of_28_ms)
{
    auto s = wide_queries();
    s.name = "wide, 28 ms, objective 300 ms";
    s.utilisation = 0.16;
    s.work_ms = 28;
    s.objective = from_ms(300);
    s.pause = from_ms(250);
    s.pause_period = from_ms(6000);
    s.length = from_ms(16'000);
    auto const it = compare(s);
    check_better(it);
    CHECK(it.after.complete >= it.before.complete);
}

TEST(placement_load, wide_queries_of_9_ms)
{
    auto s = wide_queries();
    s.name = "wide, 9.2 ms, objective 100 ms";
    s.utilisation = 0.05;
    s.work_ms = 9.2;
    s.objective = from_ms(100);
    s.min_share = 0.85;
    s.pause = from_ms(250);
    s.pause_period = from_ms(6000);
    s.length = from_ms(16'000);
    auto const it = compare(s);
    check_better(it);
    CHECK(it.after.complete >= it.before.complete);
}
