#include "core/base/paced_change.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

TEST_GROUP(paced_change){};

// Guards against a host that has just started hearing of its peers late.
TEST(paced_change, the_first_change_is_due_at_once)
{
    paced_change changes(from_ms(50));
    CHECK(!changes.take(time_point(from_ms(0))));
    changes.mark();
    CHECK(changes.take(time_point(from_ms(0))));
    CHECK(!changes.take(time_point(from_ms(100))));
}

// Guards against a cost per change that grows with the fleet: the members of
// a fleet that starts arrive within a few intervals.
TEST(paced_change, changes_in_quick_succession_are_taken_once_an_interval)
{
    paced_change changes(from_ms(50));
    int taken = 0;
    for (int i = 0; i < 480; ++i) {
        changes.mark();
        taken += changes.take(time_point(from_ms(i / 4))) ? 1 : 0;
    }
    CHECK_EQUAL(3, taken); // at 0, 50 and 100 ms of 120
}

// Guards against losing the last change of a burst.
TEST(paced_change, a_change_within_the_interval_is_due_after_it)
{
    paced_change changes(from_ms(50));
    changes.mark();
    CHECK(changes.take(time_point(from_ms(0))));
    changes.mark();
    CHECK(!changes.take(time_point(from_ms(49))));
    CHECK(changes.take(time_point(from_ms(50))));
}
