#include "core/config/platform_reader.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

TEST_GROUP(platform_reader)
{
    rng random{1};
    platform_reader reader{{}, random};

    // The call that is made now.
    spread_action next()
    {
        spread_actions out;
        reader.run(time_point(from_ms(1000)), true, 1, out);
        LONGS_EQUAL(1, out.size());
        return out.front();
    }
};

// The store comes back from an older copy, behind the revision that the reader
// watches from. Guards against a watch from a revision that the store does not
// have, which shows none of the tickets until the store has passed it.
TEST(platform_reader, reads_again_when_the_revision_has_gone_back)
{
    CHECK(std::holds_alternative<read_config>(next()));
    reader.on_read(50);
    CHECK(std::holds_alternative<watch_config>(next()));
    reader.on_watch(false, 40);
    CHECK(std::holds_alternative<read_config>(next()));
    reader.on_read(41);
    auto const call = next();
    UNSIGNED_LONGS_EQUAL(41, std::get<watch_config>(call).after_revision);
}

// Guards against a read after each watch that ends without a change.
TEST(platform_reader, watches_on_when_nothing_has_changed)
{
    next();
    reader.on_read(50);
    next();
    reader.on_watch(false, 50);
    CHECK(std::holds_alternative<watch_config>(next()));
}
