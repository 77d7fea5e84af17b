#include "core/owner/deadline_queue.hpp"
#include "core/owner/run_merger.hpp"
#include "core/owner/upstream_limiter.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

namespace {

constexpr time_point start{from_ms(1000)};
owner_engine_settings const settings;

// A limiter that good answers of 10 ms have brought to all its slots.
upstream_limiter warm_limiter(std::uint32_t slots)
{
    upstream_limiter l(settings, slots);
    for (std::uint32_t i = 0; i < 16 * slots; ++i) {
        l.on_answer(start, from_ms(10));
    }
    return l;
}

waiting_job job(std::uint32_t n, std::uint32_t priority, std::int64_t ms,
                bool submit = false)
{
    return {.job = {n, 1},
            .deadline = start + from_ms(ms),
            .priority = priority,
            .submit = submit};
}

} // namespace

TEST_GROUP(upstream_limiter){};

// Guards against a ramp that skips steps or exceeds the slots (R3).
TEST(upstream_limiter, grows_by_one_for_each_run_of_good_answers)
{
    upstream_limiter l(settings, 3);
    CHECK(l.state() == limiter_state::cold);
    for (std::uint32_t want : {1U, 2U, 3U, 3U}) {
        LONGS_EQUAL(want, l.limit(start));
        for (int i = 0; i < 8; ++i) {
            LONGS_EQUAL(want, l.limit(start));
            l.on_good(start);
        }
    }
    CHECK(l.state() == limiter_state::warm);
}

// Guards against a limit that stays up while the upstream is overloaded.
TEST(upstream_limiter, falls_on_shed_answers_timeouts_and_latency_jumps)
{
    auto l = warm_limiter(4);
    LONGS_EQUAL(4, l.limit(start));
    l.on_shed();
    LONGS_EQUAL(3, l.limit(start));
    CHECK(l.state() == limiter_state::warming);
    l.on_timeout(from_ms(100));
    LONGS_EQUAL(2, l.limit(start));
    l.on_answer(start, from_ms(100));
    LONGS_EQUAL(1, l.limit(start));
    l.on_shed();
    LONGS_EQUAL(1, l.limit(start));
}

// Guards against a limit that falls because requests came late to their turn.
TEST(upstream_limiter, ignores_timeouts_of_requests_with_little_time)
{
    auto l = warm_limiter(4);
    l.on_timeout(from_ms(2));
    LONGS_EQUAL(4, l.limit(start));
}

// Guards against a report that raises a limit or lowers it for ever.
TEST(upstream_limiter, reported_load_only_lowers_and_expires)
{
    auto l = warm_limiter(4);
    l.on_reported_load(start, 3);
    LONGS_EQUAL(1, l.limit(start));
    LONGS_EQUAL(4, l.limit(start + from_ms(3000)));
    l.on_reported_load(start, 100);
    LONGS_EQUAL(1, l.limit(start));
    upstream_limiter cold(settings, 4);
    cold.on_reported_load(start, 0);
    LONGS_EQUAL(1, cold.limit(start));
}

// Guards against a limit above the slots after a change of configuration.
TEST(upstream_limiter, follows_a_change_of_slots)
{
    auto l = warm_limiter(4);
    l.set_slots(2);
    LONGS_EQUAL(2, l.limit(start));
    CHECK(l.state() == limiter_state::warm);
    l.set_slots(3);
    LONGS_EQUAL(2, l.limit(start));
    CHECK(l.state() == limiter_state::warming);
}

// Guards against numbers from the network that wrap round to a high limit.
TEST(upstream_limiter, handover_of_absurd_numbers_stays_within_the_slots)
{
    upstream_limiter l(settings, 4);
    l.adopt({.condition = upstream_condition::warm,
             .limit = UINT32_MAX,
             .in_flight = UINT32_MAX});
    LONGS_EQUAL(1, l.limit(start));
    l.adopt({.condition = upstream_condition::warm, .limit = UINT32_MAX});
    LONGS_EQUAL(4, l.limit(start));
}

TEST_GROUP(deadline_queue){};

// Guards against requests served in an order in which more of them are late.
TEST(deadline_queue, serves_submits_then_priority_then_deadline)
{
    deadline_queue q(8);
    q.push(job(1, 1, 50));
    q.push(job(2, 2, 90));
    q.push(job(3, 2, 20));
    q.push(job(4, 0, 10, true));
    q.push(job(5, 2, 20));
    for (std::uint32_t want : {4U, 3U, 5U, 2U, 1U}) {
        LONGS_EQUAL(want, q.pop()->job.index);
    }
    CHECK(!q.pop().has_value());
}

// Guards against a queue without bound, and against high priority refused
// while low priority waits.
TEST(deadline_queue, refuses_the_lowest_priority_when_full)
{
    deadline_queue q(2);
    q.push(job(1, 1, 50));
    q.push(job(2, 1, 40));
    LONGS_EQUAL(3, q.push(job(3, 1, 10))->job.index);
    LONGS_EQUAL(1, q.push(job(4, 2, 90))->job.index);
    LONGS_EQUAL(2, q.push(job(5, 0, 90, true))->job.index);
    LONGS_EQUAL(2, q.size());
    CHECK(q.remove({4, 1}));
    CHECK(!q.remove({4, 1}));
}

TEST_GROUP(run_merger){};

// Guards against a finished athlete who appears twice or out of order.
TEST(run_merger, sorts_cuts_and_keeps_keys_distinct)
{
    auto const run = [](std::initializer_list<std::pair<char, double>> items) {
        std::vector<record> records;
        for (auto const& [key, rank] : items) {
            records.push_back({.key = std::string(1, key), .rank = rank});
        }
        return records;
    };
    auto const keys = [](std::vector<record> const& records) {
        std::string text;
        for (auto const& it : records) {
            text += it.key;
        }
        return text;
    };
    run_merger m;
    std::vector<std::vector<record>> up{run({{'a', 1}, {'d', 2}, {'e', 9}}),
                                        run({{'b', 2}, {'c', 2}, {'a', 3}}),
                                        {}};
    CHECK(keys(m.merge(up, sort_order::ascending, 4)) == "abcd");
    std::vector<std::vector<record>> down{run({{'e', 9}, {'b', 2}}),
                                          run({{'a', 2}, {'e', 1}})};
    CHECK(keys(m.merge(down, sort_order::descending, 10)) == "eab");
    auto const of = [](std::uint32_t partition) {
        return std::vector<record>{
            {.key = "a", .rank = 2, .partition = partition_id(partition)}};
    };
    for (auto const order : {sort_order::ascending, sort_order::descending}) {
        std::vector<std::vector<record>> same{of(7), of(3), of(5)};
        auto const out = m.merge(same, order, 10);
        LONGS_EQUAL(1, out.size());
        CHECK(out[0].partition == partition_id(3));
    }
    std::vector<std::vector<record>> none;
    CHECK(m.merge(none, sort_order::ascending, 5).empty());
}
