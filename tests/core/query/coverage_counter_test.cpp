#include "core/query/coverage_counter.hpp"
#include "properties.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

namespace {

target_result covering(std::uint32_t count,
                       std::vector<std::uint32_t> const& partitions)
{
    target_result it{.outcome = sub_outcome::merged, .partition_count = count};
    for (auto const p : partitions) {
        it.partitions.push_back({.id = partition_id(p), .matches = p + 1});
    }
    return it;
}

} // namespace

TEST_GROUP(coverage_counter){};

// Guards against counting a partition, or the matches in it, twice when two
// replicas answer for it, and against a fraction other than merged / count.
TEST(coverage_counter, counts_distinct_partitions)
{
    auto const ok = rc::check([] {
        auto const count = *rc::gen::inRange(1U, 40U);
        auto const ids = rc::gen::container<std::vector<std::uint32_t>>(
            rc::gen::inRange(0U, count));
        auto const answers =
            *rc::gen::container<std::vector<std::vector<std::uint32_t>>>(ids);
        coverage_counter counter;
        counter.reset(*rc::gen::element(0U, count));
        std::map<std::uint32_t, std::uint64_t> seen;
        for (auto const& it : answers) {
            counter.add(covering(count, it));
            for (auto const p : it) {
                seen[p] = p + 1;
            }
        }
        std::uint64_t total = 0;
        for (auto const& [p, matches] : seen) {
            total += matches;
        }
        RC_ASSERT(counter.merged() == seen.size());
        RC_ASSERT(counter.total() == total);
        if (counter.partition_count() == 0) {
            RC_ASSERT(!counter.fraction());
            return;
        }
        RC_ASSERT(*counter.fraction() ==
                  static_cast<double>(seen.size()) / count);
        RC_ASSERT(counter.missing().size() == count - seen.size());
    });
    CHECK(ok);
}

// Guards against a claim of coverage without a known partition count.
TEST(coverage_counter, unknown_count_makes_no_claim)
{
    coverage_counter counter;
    counter.reset(0);
    counter.add(covering(0, {1, 2}));
    CHECK(!counter.fraction().has_value());
    LONGS_EQUAL(2, counter.merged());
}

// Guards against a claim of coverage when upstreams disagree on the count.
TEST(coverage_counter, contradictory_count_makes_no_claim)
{
    coverage_counter counter;
    counter.reset(4);
    counter.add(covering(4, {1}));
    counter.add(covering(8, {2}));
    CHECK(!counter.fraction().has_value());
    CHECK(counter.missing().empty());
}

// Guards against coverage over 1 when a count turns out too small for the
// partitions that were merged before it was known.
TEST(coverage_counter, count_below_a_merged_partition_is_contradictory)
{
    coverage_counter counter;
    counter.reset(0);
    counter.add(covering(0, {9}));
    counter.note_count(4);
    CHECK(!counter.fraction().has_value());
}

// Guards against memory that a malformed partition number could claim.
TEST(coverage_counter, partition_outside_the_version_is_malformed)
{
    coverage_counter counter;
    counter.reset(4);
    CHECK(!counter.well_formed(covering(4, {4})));
    CHECK(!counter.well_formed(covering(0, {0xffffffff})));
    CHECK(!counter.well_formed(covering(0xffffffff, {1})));
}
