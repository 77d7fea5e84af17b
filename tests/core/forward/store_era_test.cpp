#include "core/forward/store_era.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

TEST_GROUP(store_era)
{
    store_era it;
};

// Guards against a host that lists every kind twice when it starts beside a
// store that has been restored before.
TEST(store_era, the_first_answer_is_no_change)
{
    CHECK(it.see(7) == era_order::first);
    CHECK(it.see(7) == era_order::same);
    UNSIGNED_LONGS_EQUAL(7, it.value());
    UNSIGNED_LONGS_EQUAL(0, it.changes());
}

// Guards against a late answer that takes the host back into an older era.
TEST(store_era, only_rises)
{
    it.see(0);
    CHECK(it.see(2) == era_order::newer);
    CHECK(it.see(1) == era_order::older);
    UNSIGNED_LONGS_EQUAL(2, it.value());
    UNSIGNED_LONGS_EQUAL(1, it.changes());
    UNSIGNED_LONGS_EQUAL(1, it.older_answers());
}

// Guards against a false datagram that sets the era, after which every answer
// of the store would be dropped, and against a listing for each datagram.
TEST(store_era, an_era_that_another_host_names_is_only_a_hint)
{
    it.see(1);
    CHECK_FALSE(it.hear(1));
    CHECK_FALSE(it.hear(0));
    CHECK(it.hear(99));
    CHECK_FALSE(it.hear(99));
    CHECK(it.see(1) == era_order::same);
    // The false one must not hide a true one.
    CHECK(it.hear(2));
    CHECK(it.see(2) == era_order::newer);
}
