#include "adapters/peer/keep_alive.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

namespace {

constexpr keep_alive_settings settings{
    .ping_after = 2, .silent_after = 5, .close_after = 8};

} // namespace

TEST_GROUP(keep_alive){};

// Guards against a peer that counts as silent without having been asked, and
// against a connection that is never given up.
TEST(keep_alive, asks_before_it_reports_silence_and_closes_last)
{
    keep_alive it(settings);
    it.start(false);
    using step = keep_alive_step;
    for (auto const expected :
         {step::none, step::ping, step::none, step::none, step::silent,
          step::none, step::none, step::close}) {
        CHECK(it.on_tick() == expected);
    }
    CHECK(it.silent());
}

// Guards against a slow peer that counts as silent although it sends.
TEST(keep_alive, input_starts_the_count_again)
{
    keep_alive it(settings);
    it.start(false);
    for (int i = 0; i < 100; ++i) {
        CHECK(it.on_tick() != keep_alive_step::silent);
        if (i % 4 == 3) {
            CHECK_FALSE(it.on_input());
        }
    }
}

// Guards against a peer that is avoided although it answers again, and
// against silence that is reported more than once.
TEST(keep_alive, silence_is_reported_once_and_ends_with_input)
{
    keep_alive it(settings);
    it.start(true);
    for (int i = 0; i < 7; ++i) {
        CHECK(it.on_tick() != keep_alive_step::silent);
    }
    CHECK(it.silent());
    CHECK(it.on_input());
    CHECK_FALSE(it.on_input());
    CHECK_FALSE(it.silent());
}
