#include "query_world.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

using namespace snipemill;

TEST_GROUP(query_engine){};

// Guards against a query that is answered before every service is merged, or
// whose coverage, total or records do not match what was merged.
TEST(query_engine, whole_answer_from_all_services)
{
    query_world w({});
    auto const batches = w.open_query(1, {.limit = 5});
    for (auto const& sent : batches) {
        CHECK(w.take<answer_caller>().empty());
        w.answer(sent);
    }

    auto const it = w.take_answer();
    CHECK(it.coverage.fraction == 1.0);
    LONGS_EQUAL(8, it.coverage.merged);
    LONGS_EQUAL(24, it.total);
    LONGS_EQUAL(5, it.records.size());
    CHECK(it.records.front().key == "p000-0");
    CHECK(it.records.back().key == "p004-0");
    LONGS_EQUAL(7, it.snapshot.value);
    LONGS_EQUAL(4, it.sub_requests);
    LONGS_EQUAL(0, w.engine.in_flight());
    CHECK(!w.engine.next_timer().has_value());
}
