#include "core/quarantine/recent_answers.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(from_ms(100'000 + ms));
}

} // namespace

TEST_GROUP(recent_answers)
{
    recent_answers it{{.lifetime = from_ms(5000), .max_entries = 8}};
};

// Guards against a request that counts as harmless for ever because it was
// answered once.
TEST(recent_answers, forgets_an_answer_after_its_lifetime)
{
    it.add(fingerprint(1), at(0));
    CHECK(it.contains(fingerprint(1), at(4999)));
    CHECK_FALSE(it.contains(fingerprint(1), at(5000)));
    CHECK_FALSE(it.contains(fingerprint(2), at(0)));
}

// Load pattern: most requests have a path of their own. Guards against a
// popular request that they push out, and against memory that grows with them.
TEST(recent_answers, keeps_a_popular_request_among_many_others)
{
    for (std::uint64_t i = 0; i < 100; ++i) {
        it.add(fingerprint(1000 + i), at(static_cast<std::int64_t>(i)));
        if (i % 2 == 0) {
            it.add(fingerprint(1), at(static_cast<std::int64_t>(i)));
        }
        CHECK(it.contains(fingerprint(1), at(static_cast<std::int64_t>(i))));
        CHECK(it.size() <= 8);
    }
    CHECK_FALSE(it.contains(fingerprint(1000), at(100)));
}
