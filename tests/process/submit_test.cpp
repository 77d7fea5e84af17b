#include "testbed/fleet.hpp"
#include "testbed/submit_load.hpp"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace testbed;
using std::chrono::milliseconds;

namespace {

fleet_options submit_fleet()
{
    return {.services = 6,
            .upstream_arguments = {"--latency-ms", "2", "--partitions", "12",
                                   "--records-per-partition", "5"}};
}

// Each key is sent to a second host at the same time and to a third later.
submit_load_options keyed_load(fleet& f)
{
    return {.targets = f.caller_targets(),
            .rate = 100,
            .keys = 200,
            .resends = {milliseconds(0), milliseconds(400)}};
}

// Guards against a key that runs twice, a refusal that says not_run of a
// request that ran, and a resend with another answer than the first.
submit_check check_safe(fleet& f, std::vector<submit_sample> const& samples)
{
    auto const check = check_submits(samples, run_log(f));
    LONGS_EQUAL(0, check.duplicates);
    LONGS_EQUAL(0, check.false_not_run);
    LONGS_EQUAL(0, check.changed_answers);
    LONGS_EQUAL(0, check.false_answers);
    return check;
}

// Sends every key once more, when no fault is active.
std::vector<submit_sample> send_again(fleet& f, submit_load_options load)
{
    load.targets = f.caller_targets();
    load.rate = 200;
    load.resends.clear();
    load.before = {};
    load.seed += 1;
    return run_submits(load);
}

void append(std::vector<submit_sample>& to,
            std::vector<submit_sample> const& from)
{
    to.insert(to.end(), from.begin(), from.end());
}

// Sets a fault for the time from 500 to 1500 ms of a load.
std::function<void(milliseconds)> between(std::function<void()> start,
                                          std::function<void()> end)
{
    return [phase = 0, start = std::move(start),
            end = std::move(end)](milliseconds elapsed) mutable {
        if (phase == 0 && elapsed >= milliseconds(500)) {
            phase = 1;
            start();
        }
        if (phase == 1 && elapsed >= milliseconds(1500)) {
            phase = 2;
            end();
        }
    };
}

std::string close_execute(std::string const& when)
{
    return R"({"close_execute":")" + when + R"("})";
}

void check_closing_upstreams(std::string const& when)
{
    fleet f(submit_fleet());
    auto load = keyed_load(f);
    load.before = between([&] { f.control_upstreams(close_execute(when)); },
                          [&] { f.control_upstreams(close_execute("none")); });
    auto samples = run_submits(load);
    auto const again = send_again(f, load);
    LONGS_EQUAL(0, count_lost_answers(samples, again));
    append(samples, again);
    auto const check = check_safe(f, samples);
    LONGS_EQUAL(load.keys, check.keys);
    CHECK(check.answered > load.keys / 3);
    CHECK(f.sum_upstreams("closed_" + when) > 0);
}

} // namespace

TEST_GROUP(submit){};

// Guards against two hosts that both run a key, and against resends that are
// not given the first answer.
TEST(submit, resends_to_other_hosts_run_once)
{
    fleet f(submit_fleet());
    auto const load = keyed_load(f);
    auto samples = run_submits(load);
    auto const again = send_again(f, load);
    LONGS_EQUAL(0, count_lost_answers(samples, again));
    append(samples, again);
    auto const check = check_safe(f, samples);
    LONGS_EQUAL(load.keys, check.answered);
    LONGS_EQUAL(load.keys, check.ran);
}

// Guards against a request that is taken for lost in the connection and is
// run by a second upstream.
TEST(submit, upstreams_that_close_before_running)
{
    check_closing_upstreams("before");
}

// Guards against a second run of a request whose upstream failed in it.
TEST(submit, upstreams_that_close_while_running)
{
    check_closing_upstreams("during");
}

// Guards against an answer that is dropped with its connection.
TEST(submit, upstreams_that_close_after_the_answer)
{
    check_closing_upstreams("after");
}

// Guards against "not run" for a key that ran, and against a key that cannot be
// sent again after it was refused.
TEST(submit, upstreams_that_refuse_connections)
{
    fleet f(submit_fleet());
    f.control_upstreams(R"({"refuse_connections_ms":5000})");
    // Hosts notice that their idle connections were closed.
    std::this_thread::sleep_for(milliseconds(100));
    auto load = keyed_load(f);
    load.keys = 100;
    auto samples = run_submits(load);
    CHECK(f.sum_upstreams("listener_closed") > 0);
    auto const at_first = check_safe(f, samples);
    LONGS_EQUAL(load.keys, at_first.not_run);
    LONGS_EQUAL(0, at_first.ran);
    // Connections are tried again after a pause of up to 2 s.
    CHECK(wait_until([&] {
        append(samples, send_again(f, load));
        return check_safe(f, samples).answered == load.keys;
    }));
    LONGS_EQUAL(load.keys, check_safe(f, samples).ran);
}

// Guards against a key that is taken over while the killed host's attempt may
// still run.
TEST(submit, a_host_that_is_killed)
{
    fleet f(submit_fleet());
    auto load = keyed_load(f);
    load.before = between([&] { f.kill_host(0); }, [&] { f.start_host(0); });
    auto samples = run_submits(load);
    CHECK(wait_until([&] { return f.settled(1); }));
    auto const again = send_again(f, load);
    LONGS_EQUAL(0, count_lost_answers(samples, again));
    append(samples, again);
    auto const check = check_safe(f, samples);
    LONGS_EQUAL(load.keys, check.keys);
    CHECK(check.answered > load.keys / 3);
}

// Guards against a claim whose written answer was lost and that is then taken
// for another host's, or written twice.
TEST(submit, lost_answers_of_the_platform)
{
    fleet f(submit_fleet());
    auto load = keyed_load(f);
    load.before = between([&] { f.control_platform(R"({"lose_answers":40})"); },
                          [&] { f.control_platform(R"({"lose_answers":0})"); });
    auto samples = run_submits(load);
    auto const again = send_again(f, load);
    append(samples, again);
    auto const check = check_safe(f, samples);
    LONGS_EQUAL(load.keys, check.keys);
    CHECK(check.answered > load.keys / 3);
    CHECK(f.platform_counters()->at("lost").to_number<int>() > 0);
}

// Guards against requests that run without a claim, and against queries that
// depend on the platform.
TEST(submit, nothing_runs_while_the_platform_is_down)
{
    fleet f(submit_fleet());
    f.control_platform(R"({"down":true})");
    auto load = keyed_load(f);
    load.keys = 60;
    load.deadline_ms = 1000;
    auto const samples = run_submits(load);
    for (auto const& it : samples) {
        CHECK(it.kind == submit_kind::not_run);
    }
    auto const queries =
        run_load({.targets = f.caller_targets(),
                  .body = R"({"group":"stores-desk","query":{},"limit":10})",
                  .rate = 50,
                  .count = 50});
    for (auto const& it : queries) {
        LONGS_EQUAL(200, it.status);
        CHECK(it.coverage == 1.0);
    }
    CHECK(run_log(f).empty());
    f.control_platform(R"({"down":false})");
}

// Guards against a fault that shows only when several failures meet.
TEST(submit, all_failures_together)
{
    fleet f(submit_fleet());
    auto load = keyed_load(f);
    load.keys = 500;
    std::vector<std::pair<milliseconds, std::function<void()>>> steps{
        {milliseconds(500),
         [&] { f.control_upstreams(close_execute("during")); }},
        {milliseconds(800),
         [&] { f.control_platform(R"({"lose_answers":20})"); }},
        {milliseconds(1200), [&] { f.kill_host(1); }},
        {milliseconds(1500),
         [&] { f.control_upstreams(close_execute("before")); }},
        {milliseconds(2000), [&] { f.control_platform(R"({"down":true})"); }},
        {milliseconds(2500),
         [&] { f.control_upstreams(close_execute("after")); }},
        {milliseconds(2800), [&] { f.control_platform(R"({"down":false})"); }},
        {milliseconds(3300), [&] { f.start_host(1); }},
        {milliseconds(3600),
         [&] { f.control_upstreams(close_execute("none")); }}};
    std::size_t next = 0;
    load.before = [&](milliseconds elapsed) {
        while (next < steps.size() && elapsed >= steps[next].first) {
            steps[next++].second();
        }
    };
    auto samples = run_submits(load);
    LONGS_EQUAL(steps.size(), next);
    CHECK(wait_until([&] { return f.settled(1); }));
    append(samples, send_again(f, load));
    auto const check = check_safe(f, samples);
    LONGS_EQUAL(load.keys, check.keys);
    CHECK(check.answered > load.keys / 3);
}
