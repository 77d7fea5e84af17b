#include "core/base/rng.hpp"
#include "core/placement/cost_estimate.hpp"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <string>

using namespace snipemill;

TEST_GROUP(cost_estimate)
{
    cost_estimate costs;

    void add(cost_key const& key, double work, int n)
    {
        for (int i = 0; i < n; ++i) {
            costs.add(key, work);
        }
    }
};

TEST(cost_estimate, knows_nothing_without_samples)
{
    DOUBLES_EQUAL(0, costs.expect({.route = "r"}).mean, 0);
    DOUBLES_EQUAL(0, costs.mean_at("s"), 0);
}

// One account's requests cost ten times as much as the others'. Guards against
// one mean for all accounts, and against trusting a single sample of an
// account.
TEST(cost_estimate, moves_to_the_finer_key_as_it_gets_samples)
{
    add({.route = "r", .account = "small", .service = "s"}, 10, 60);
    cost_key const large{.route = "r", .account = "large", .service = "s"};
    costs.add(large, 100);
    auto const first = costs.expect(large).mean;
    CHECK(first > 10 && first < 40);
    add(large, 100, 100);
    CHECK(costs.expect(large).mean > 85);
    CHECK(costs.expect({.route = "r", .account = "new"}).mean > 10);
}

// Guards against a tail that is taken for the mean: hedges would start too
// early.
TEST(cost_estimate, tail_is_the_90th_percentile)
{
    rng random(1);
    cost_key const key{.route = "r"};
    int above = 0;
    int n = 0;
    for (int i = 0; i < 4000; ++i) {
        auto const work = -20 * std::log(1 - random.unit());
        if (i > 200) {
            above += work > costs.expect(key).tail ? 1 : 0;
            ++n;
        }
        costs.add(key, work);
    }
    auto const share = static_cast<double>(above) / n;
    CHECK(share > 0.06 && share < 0.14);
}

// An upstream pauses for 250 ms. Guards against taking the pause for work.
TEST(cost_estimate, a_pause_hardly_counts)
{
    cost_key const key{.route = "r"};
    add(key, 7, 60);
    costs.add(key, 250);
    CHECK(costs.expect(key).mean < 9);
}

// 90 shards become 135, so each has two thirds of the work. Guards against
// estimates of the former shards that last for hundreds of requests.
TEST(cost_estimate, forgets_after_the_shards_have_changed)
{
    cost_key const key{.route = "r", .service = "s"};
    add(key, 30, 500);
    costs.forget("r");
    add(key, 20, 12);
    auto const mean = costs.expect(key).mean;
    CHECK(mean > 20 && mean < 23);
    CHECK(costs.mean_at("s") < 23);
}

// Clients choose accounts and paths. Guards against memory that grows with the
// keys, and against frequent keys that rare ones evict.
TEST(cost_estimate, many_keys_do_not_evict_a_frequent_one)
{
    cost_key const key{.route = "r", .account = "a", .service = "s"};
    add(key, 5, 200);
    for (int i = 0; i < 100'000; ++i) {
        auto const account = std::to_string(i);
        costs.add({.route = "q", .account = account, .service = "t"}, 50);
        if (i % 50 == 0) {
            costs.add(key, 5);
        }
    }
    DOUBLES_EQUAL(5, costs.expect(key).mean, 0.5);
}
