#include "core/query/known_prints.hpp"
#include "core/query/latency_quantile.hpp"
#include "core/query/token_bucket.hpp"
#include "properties.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>

using namespace snipemill;

TEST_GROUP(budgets){};

// Guards against an estimate below the real quantile or more than one bucket
// above it, over the whole range of latencies.
TEST(budgets, quantile_estimate_is_within_a_bucket)
{
    auto const ok = rc::check([] {
        auto const n = *rc::gen::inRange(20, 300);
        auto const q = *rc::gen::inRange(1, 101) / 100.0;
        std::vector<std::int64_t> samples;
        latency_quantile estimate;
        for (int i = 0; i < n; ++i) {
            auto const bits = *rc::gen::inRange(0, 26);
            auto const value = *rc::gen::inRange<std::int64_t>(
                0, (std::int64_t{1} << bits) + 1);
            samples.push_back(value);
            estimate.add(duration(value));
        }
        std::sort(samples.begin(), samples.end());
        auto const rank = static_cast<std::size_t>(std::ceil(q * n));
        auto const real = samples[std::max<std::size_t>(rank, 1) - 1];
        auto const got = estimate.estimate(q)->count();
        RC_ASSERT(got >= real);
        RC_ASSERT(got <= real + real / 8);
    });
    CHECK(ok);
}

// Guards against an estimate that never follows a change of load.
TEST(budgets, old_latencies_fade)
{
    latency_quantile estimate;
    CHECK(!estimate.estimate(0.5).has_value());
    for (int i = 0; i < 20'000; ++i) {
        estimate.add(from_ms(100));
    }
    for (int i = 0; i < 20'000; ++i) {
        estimate.add(from_ms(1));
    }
    CHECK(*estimate.estimate(0.9) < from_ms(2));
}

// Guards against extra sub-requests over the configured fraction.
TEST(budgets, bucket_allows_its_fraction_and_no_more)
{
    token_bucket bucket(5, 0);
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
        bucket.earn(0.03125); // exact in binary
        taken += bucket.take() ? 1 : 0;
    }
    LONGS_EQUAL(31, taken);
    bucket.earn(100);
    LONGS_EQUAL(5, bucket.tokens());
}

// Guards against a set of fingerprints that grows without bound.
TEST(budgets, oldest_fingerprint_is_forgotten)
{
    known_prints prints(2);
    for (std::uint64_t i = 1; i <= 3; ++i) {
        prints.insert(fingerprint(i));
    }
    LONGS_EQUAL(2, prints.size());
    CHECK(!prints.contains(fingerprint(1)));
    CHECK(prints.contains(fingerprint(3)));
}
