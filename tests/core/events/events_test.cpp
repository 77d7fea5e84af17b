#include "core/events/event_ring.hpp"

#include <CppUTest/TestHarness.h>

#include <limits>

using namespace snipemill;

TEST_GROUP(hybrid_clock){};

// Guards against two events of one host with the same stamp.
TEST(hybrid_clock, stamps_grow_while_the_wall_clock_stands_or_goes_back)
{
    hybrid_clock clock;
    auto last = clock.tick(1000);
    for (auto const wall : {1000U, 900U, 1000U, 1001U, 5U}) {
        auto const next = clock.tick(wall);
        CHECK(last < next);
        last = next;
    }
}

// Guards against an answer that is ordered before its request.
TEST(hybrid_clock, merged_stamp_is_after_the_received_one)
{
    hybrid_clock clock;
    hybrid_time const received{.wall = 5000, .counter = 7};
    CHECK(received < clock.merge(1000, received));
    CHECK(received < clock.tick(1000));
}

// Guards against one wrong clock that moves the time line of all hosts.
TEST(hybrid_clock, stamp_far_ahead_is_bounded)
{
    hybrid_clock clock;
    auto const far = std::numeric_limits<std::uint64_t>::max() / 2;
    auto const merged = clock.merge(1000, {.wall = far});
    CHECK(merged.wall == 60'001'000U);
}

// Guards against a full counter that wraps to an earlier stamp.
TEST(hybrid_clock, full_counter_moves_the_wall_part)
{
    hybrid_clock clock;
    hybrid_time const received{
        .wall = 5000, .counter = std::numeric_limits<std::uint32_t>::max()};
    CHECK(received < clock.merge(1000, received));
}

TEST_GROUP(event_ring){};

// Guards against a ring that grows or gives events out of order.
TEST(event_ring, keeps_the_newest_in_order)
{
    event_ring ring(3);
    for (int i = 1; i <= 8; ++i) {
        ring.push({.subject = std::to_string(i)});
        LONGS_EQUAL(i, ring.last_sequence());
    }
    auto const all = ring.after(0);
    LONGS_EQUAL(3, all.size());
    for (std::size_t i = 0; i < all.size(); ++i) {
        LONGS_EQUAL(6 + i, all[i].sequence);
        CHECK(all[i].subject == std::to_string(6 + i));
    }
}

// Guards against a reader that gets events twice or reads past the end.
TEST(event_ring, after_gives_only_later_events)
{
    event_ring ring(4);
    CHECK(ring.after(0).empty());
    ring.push({});
    ring.push({});
    LONGS_EQUAL(1, ring.after(1).size());
    CHECK(ring.after(2).empty());
    CHECK(ring.after(std::numeric_limits<std::uint64_t>::max()).empty());
}
