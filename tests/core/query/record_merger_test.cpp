#include "core/query/record_merger.hpp"
#include "properties.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace snipemill;

namespace {

// Few keys, ranks and partitions, so that collisions are common.
record any_record()
{
    auto const key = *rc::gen::inRange(0, 12);
    auto const partition = *rc::gen::inRange(0U, 3U);
    return {.key = "k" + std::to_string(key),
            .rank = static_cast<double>(*rc::gen::inRange(0, 5)),
            .partition = partition_id(partition),
            .body = "{}"};
}

// The definition: the first record of each key in order, cut at the limit.
std::vector<record> expected(std::vector<record> all, sort_order order,
                             std::size_t limit)
{
    std::sort(all.begin(), all.end(), [&](record const& a, record const& b) {
        return ordered_before(a, b, order);
    });
    std::map<std::string, bool> seen;
    std::erase_if(all, [&](record const& r) {
        return !seen.emplace(r.key, true).second;
    });
    all.resize(std::min(all.size(), limit));
    return all;
}

record make(std::string key, double rank, std::uint32_t partition)
{
    return {.key = std::move(key),
            .rank = rank,
            .partition = partition_id(partition),
            .body = "{}"};
}

} // namespace

TEST_GROUP(record_merger){};

// Guards against a merged page that depends on the order in which parts
// arrive, or that loses or repeats a key, in both sort orders.
TEST(record_merger, result_is_the_sorted_distinct_prefix)
{
    auto const ok = rc::check([] {
        auto const n = *rc::gen::inRange<std::size_t>(0, 60);
        std::vector<record> all;
        all.reserve(n);
        for (std::size_t i = 0; i < n; ++i) {
            all.push_back(any_record());
        }
        auto const order =
            *rc::gen::element(sort_order::ascending, sort_order::descending);
        auto const limit = *rc::gen::inRange<std::size_t>(0, 15);
        auto const offset = *rc::gen::inRange<std::size_t>(0, 6);

        record_merger merger;
        merger.reset(order, limit);
        for (auto it : all) {
            merger.add(std::move(it));
        }
        auto want = expected(all, order, limit);
        auto const cut = std::min(offset, want.size());
        want.erase(want.begin(),
                   want.begin() + static_cast<std::ptrdiff_t>(cut));
        RC_ASSERT(merger.take(offset) == want);
    });
    CHECK(ok);
}

// Guards against an order that differs from the one in which owners and
// upstreams cut their records, which would lose records of equal rank.
TEST(record_merger, equal_ranks_keep_keys_and_partitions_ascending)
{
    std::vector<record> const all = {make("b", 2, 0), make("c", 1, 0),
                                     make("a", 2, 9), make("d", 3, 0),
                                     make("a", 2, 3)};
    auto const sorted = [&](sort_order order) {
        record_merger merger;
        merger.reset(order, 10);
        for (auto it : all) {
            merger.add(std::move(it));
        }
        return merger.take(0);
    };
    std::vector<record> const up = {make("c", 1, 0), make("a", 2, 3),
                                    make("b", 2, 0), make("d", 3, 0)};
    std::vector<record> const down = {make("d", 3, 0), make("a", 2, 3),
                                      make("b", 2, 0), make("c", 1, 0)};
    CHECK(sorted(sort_order::ascending) == up);
    CHECK(sorted(sort_order::descending) == down);
}

// Guards against two replicas' copies of a record being reported as a
// duplicate order.
TEST(record_merger, same_partition_twice_is_not_a_duplicate)
{
    record_merger merger;
    merger.reset(sort_order::ascending, 10);
    merger.add(make("a", 1, 4));
    merger.add(make("a", 1, 4));
    LONGS_EQUAL(1, merger.size());
    LONGS_EQUAL(0, merger.duplicates());
}

// Guards against one key from two partitions appearing twice or uncounted.
TEST(record_merger, same_key_from_two_partitions_is_kept_once_and_counted)
{
    record_merger merger;
    merger.reset(sort_order::ascending, 10);
    merger.add(make("a", 2, 4));
    merger.add(make("a", 1, 5));
    LONGS_EQUAL(1, merger.duplicates());
    auto const out = merger.take(0);
    LONGS_EQUAL(1, out.size());
    CHECK(out.front().partition == partition_id(5));
}
