#include "core/base/rng.hpp"
#include "core/quarantine/quarantine.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace snipemill;

namespace {

constexpr fingerprint print{5};
constexpr time_point start{from_ms(1000)};

} // namespace

TEST_GROUP(quarantine){};

// Guards against a crashing query that passes by changing its white space.
TEST(quarantine, fingerprint_ignores_white_space_outside_strings)
{
    auto const a = fingerprint_of("g", R"({"a": [1, 2], "b": "x y"})");
    CHECK(a == fingerprint_of("g", "{\"a\":[1,2],\n\t\"b\":\"x y\"}"));
    CHECK(a != fingerprint_of("g", R"({"a":[1,2],"b":"xy"})"));
    CHECK(a != fingerprint_of("h", R"({"a": [1, 2], "b": "x y"})"));
    CHECK(fingerprint_of("g", R"({"b":"\" x"})") !=
          fingerprint_of("g", R"({"b":"\"x"})"));
    CHECK(fingerprint_of("g", R"({"b":"\\" , "c":1})") ==
          fingerprint_of("g", R"({"b":"\\","c":1})"));
}

// Guards against a query refused for the crashes of one bad upstream.
TEST(quarantine, needs_distinct_upstreams)
{
    quarantine q({});
    CHECK(!q.on_crash(start, print, upstream_id(1)));
    CHECK(!q.on_crash(start, print, upstream_id(1)));
    CHECK(!q.refused(start, print));
    CHECK(q.on_crash(start, print, upstream_id(2)));
    CHECK(!q.on_crash(start, print, upstream_id(3)));
    CHECK(q.refused(start, print));
    LONGS_EQUAL(1, q.refused_prints(start).size());
}

// Guards against a quarantine that never ends or ends with its clean-up only.
TEST(quarantine, expires_after_the_last_crash)
{
    quarantine q({});
    q.on_crash(start, print, upstream_id(1));
    q.on_crash(start + from_ms(300'000), print, upstream_id(2));
    CHECK(q.refused(start + from_ms(899'999), print));
    CHECK(!q.refused(start + from_ms(900'000), print));
    q.expire(start + from_ms(900'000));
    CHECK(q.records().empty());
}

// Guards against an operator's entry that cannot be set or taken back.
TEST(quarantine, operator_adds_and_removes)
{
    quarantine q({});
    q.add(start, print);
    CHECK(q.refused(start, print));
    CHECK(q.remove(print));
    CHECK(!q.remove(print));
    CHECK(!q.refused(start, print));
}

// Guards against a peer's older record that brings a removed entry back, and
// against a removal that hides later crashes.
TEST(quarantine, a_removal_reaches_peers)
{
    quarantine a({});
    quarantine b({});
    a.on_crash(start, print, upstream_id(1));
    a.on_crash(start, print, upstream_id(2));
    auto const old = a.records()[0];
    b.merge(start, old);
    CHECK(a.remove(print));
    b.merge(start, a.records()[0]);
    a.merge(start, old);
    b.merge(start, old);
    CHECK(!a.refused(start, print));
    CHECK(!b.refused(start, print));
    CHECK(a.records() == b.records());
    b.on_crash(start, print, upstream_id(1));
    b.on_crash(start, print, upstream_id(2));
    a.merge(start, b.records()[0]);
    CHECK(a.refused(start, print));
}

// Guards against records that grow without bound, and against new suspects
// that push out what is refused.
TEST(quarantine, is_bounded_and_keeps_refused_entries)
{
    quarantine q({.max_entries = 16});
    q.add(start, print);
    for (std::uint64_t i = 100; i < 200; ++i) {
        q.on_crash(start + duration(static_cast<std::int64_t>(i)),
                   fingerprint(i), upstream_id(1));
    }
    LONGS_EQUAL(16, q.records().size());
    CHECK(q.refused(start, print));
    CHECK(q.records().back().print == fingerprint(199));
}

// Guards against a peer's clock that keeps a record for ever.
TEST(quarantine, does_not_believe_times_in_the_future)
{
    quarantine q({});
    q.merge(start, {.print = print,
                    .upstreams = {upstream_id(1), upstream_id(2)},
                    .last_seen = start + from_ms(9'000'000)});
    CHECK(q.refused(start, print));
    CHECK(!q.refused(start + from_ms(600'000), print));
}

// Guards against hosts that disagree after exchanging the same records.
TEST(quarantine, merges_in_any_order_to_the_same_result)
{
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        rng random(seed);
        std::vector<crash_record> records(30);
        for (auto& it : records) {
            it.print = fingerprint(random.below(6));
            it.upstreams = {upstream_id(random.below(20)),
                            upstream_id(random.below(20))};
            it.last_seen = start - duration(random.below(1000));
            it.manual = random.below(20) == 0;
            it.removals = random.below(3);
        }
        quarantine a({});
        quarantine b({});
        for (auto const& it : records) {
            a.merge(start, it);
        }
        for (std::size_t i = records.size(); i-- > 1;) {
            std::swap(records[i],
                      records[random.below(static_cast<std::uint32_t>(i + 1))]);
        }
        for (auto const& it : records) {
            b.merge(start, it);
            b.merge(start, it);
        }
        CHECK(a.records() == b.records());
    }
}

// Guards against a harmless query that is refused for the whole life of its
// record: a refused query is not sent, so that no answer can clear it.
TEST(quarantine, a_refused_query_is_tried_again_before_its_record_expires)
{
    constexpr quarantine_settings settings{};
    quarantine records(settings);
    time_point const crashed{from_ms(100'000)};
    records.on_crash(crashed, fingerprint(1), upstream_id(1));
    records.on_crash(crashed, fingerprint(1), upstream_id(2));
    CHECK(records.refused(crashed, fingerprint(1)));
    CHECK_FALSE(records.refused(crashed + settings.expiry / 2, fingerprint(1)));
}
