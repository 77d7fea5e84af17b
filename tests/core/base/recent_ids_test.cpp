#include "core/base/recent_ids.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace snipemill;
using namespace std::chrono_literals;

namespace {

recent_ids::clock_time at(std::chrono::milliseconds t)
{
    return recent_ids::clock_time(1h + t);
}

} // namespace

TEST_GROUP(recent_ids)
{
    recent_ids ids;
};

TEST(recent_ids, holds_an_id_until_its_time)
{
    ids.add("a", at(100ms), at(0ms));
    CHECK(ids.contains("a"));
    CHECK_FALSE(ids.contains("b"));
    ids.add("b", at(100ms), at(100ms));
    CHECK_FALSE(ids.contains("b"));
}

// Guards against a connection in constant use whose memory grows with the
// number of its requests.
TEST(recent_ids, is_bounded_by_the_ids_that_may_come_again)
{
    for (int i = 0; i < 10'000; ++i) {
        auto const now = at(std::chrono::milliseconds(10 * i));
        ids.add(std::to_string(i), now + 200ms, now);
        CHECK(ids.size() <= 60);
        CHECK(i < 20 || ids.contains(std::to_string(i - 19)));
    }
}
