#include "adapters/logging/line_queue.hpp"

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

using namespace snipemill;

TEST_GROUP(line_queue)
{
    std::array<int, 2> ends{};
    line_queue::clock::time_point now{std::chrono::hours(1)};

    void setup() override
    {
        LONGS_EQUAL(0, ::pipe(ends.data()));
    }
    void teardown() override
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    std::string read()
    {
        std::array<char, 65536> buf{};
        auto const n = ::read(ends[0], buf.data(), buf.size());
        return {buf.data(), n > 0 ? static_cast<std::size_t>(n) : 0};
    }
};

TEST(line_queue, writes_lines_in_order)
{
    line_queue lines(ends[1], {});
    lines.push("a\n", now);
    lines.push("b\n", now);
    lines.flush();
    STRCMP_EQUAL("a\nb\n", read().c_str());
}

// Load: nobody reads the log. Guards against a thread that blocks on it and
// against memory without bound.
TEST(line_queue, drops_lines_when_nobody_reads)
{
    line_queue lines(
        ends[1], {.capacity = 100'000, .lines_per_second = 1e9, .burst = 1e9});
    std::string const line(999, 'x');
    for (int i = 0; i < 1000; ++i) {
        lines.push(line + "\n", now);
        lines.flush();
    }
    CHECK(lines.dropped() > 0);
}

// Load: every request fails. Guards against a log that grows with it, and
// against lines that vanish without a word.
TEST(line_queue, bounds_the_rate_and_tells_what_is_missing)
{
    line_queue lines(ends[1], {.lines_per_second = 10, .burst = 5});
    for (int i = 0; i < 20; ++i) {
        lines.push("x\n", now);
    }
    UNSIGNED_LONGS_EQUAL(15, lines.dropped());
    lines.push("y\n", now + std::chrono::seconds(1));
    lines.flush();
    STRCMP_EQUAL("x\nx\nx\nx\nx\n"
                 "{\"event\":\"log_lines_dropped\",\"count\":\"15\"}\ny\n",
                 read().c_str());
}
