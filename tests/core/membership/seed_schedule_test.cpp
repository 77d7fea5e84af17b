#include "core/membership/member_list.hpp"
#include "core/membership/seed_schedule.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace snipemill;

namespace {

constexpr auto tick = from_ms(50);

// Times at which a host reads the list within the time.
std::vector<time_point> reads(std::uint64_t seed, bool reader, duration time)
{
    seed_schedule it({}, seed);
    time_point const begin{from_ms(1000)};
    it.start(begin);
    std::vector<time_point> out;
    for (auto now = begin; now < begin + time; now += tick) {
        if (it.due(now, reader)) {
            out.push_back(now);
        }
    }
    return out;
}

} // namespace

TEST_GROUP(seed_schedule){};

// Guards against a list that is read only once, and against reads more often
// than the interval allows.
TEST(seed_schedule, readers_read_again_at_the_interval_with_jitter)
{
    std::vector<time_point> firsts;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        auto const all = reads(seed, true, from_ms(100'000));
        CHECK(all.size() >= 8 && all.size() <= 13);
        auto last = time_point{from_ms(1000)};
        for (auto const at : all) {
            CHECK(at - last >= from_ms(7'500));
            CHECK(at - last <= from_ms(12'500) + tick);
            last = at;
        }
        firsts.push_back(all.front());
    }
    std::sort(firsts.begin(), firsts.end());
    auto const distinct = std::unique(firsts.begin(), firsts.end());
    CHECK(distinct - firsts.begin() > 10);
}

// Guards against a load on the platform that grows with the fleet.
TEST(seed_schedule, other_hosts_do_not_read)
{
    CHECK(reads(1, false, from_ms(100'000)).empty());
}

// Guards against a new reader that catches up on reads that it had no part in.
TEST(seed_schedule, new_reader_reads_once_per_interval)
{
    seed_schedule it({}, 1);
    time_point now{from_ms(1000)};
    it.start(now);
    now += from_ms(60'000);
    CHECK_FALSE(it.due(now, false));
    CHECK_FALSE(it.due(now, true));
    now += from_ms(12'500);
    CHECK(it.due(now, true));
    CHECK_FALSE(it.due(now, true));
}
