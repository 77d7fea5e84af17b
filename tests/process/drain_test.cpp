#include "testbed/background_load.hpp"
#include "testbed/fleet.hpp"
#include "testbed/fleet_work.hpp"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <string>
#include <thread>

using namespace testbed;

namespace {

// Stated bound of R4 and R8.
constexpr std::int64_t last_new_work_ms = 3000;
// Requests that come after the bound are looked for during this time.
constexpr std::int64_t watch_ms = 2000;

fleet_options loaded_fleet()
{
    return {.group_settings = "deadline_ms: 3000, ",
            .services = 6,
            .upstream_arguments = {"--latency-ms", "10", "--partitions", "12",
                                   "--records-per-partition", "5"}};
}

std::string const query = R"({"group":"stores-desk","query":{},"limit":100})";

// Replica r of service s is in data centre (s + r) modulo 3.
std::vector<std::size_t> upstreams_of(std::size_t data_centre)
{
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < 12; ++i) {
        if ((i / 2 + i % 2) % 3 == data_centre) {
            out.push_back(i);
        }
    }
    return out;
}

void check_no_new_work(fleet& f, std::vector<std::size_t> const& upstreams,
                       std::int64_t accepted)
{
    auto const until = accepted + last_new_work_ms + watch_ms;
    CHECK(wait_until([&] { return upstream_counter(f, 0, "now_ms") > until; }));
    for (auto const i : upstreams) {
        CHECK(upstream_counter(f, i, "last_request_ms") <=
              accepted + last_new_work_ms);
    }
}

void check_all_answered(std::vector<query_sample> const& samples)
{
    CHECK(!samples.empty());
    for (auto const& it : samples) {
        STRCMP_EQUAL("", it.code.c_str());
        LONGS_EQUAL(200, it.status);
        CHECK(it.coverage == 1.0);
    }
}

// Takes upstreams out of work under load and returns them.
void leave_and_return(fleet& f, background_options const& options,
                      std::vector<std::size_t> const& upstreams,
                      std::function<void()> const& leave,
                      std::function<void()> const& come_back)
{
    background_load load(options);
    CHECK(all_serve(f, upstreams, 0));
    // Taken before the ticket is accepted, which makes the bound stricter.
    auto const accepted = upstream_counter(f, 0, "now_ms");
    leave();
    check_no_new_work(f, upstreams, accepted);
    auto const returned = upstream_counter(f, 0, "now_ms");
    come_back();
    CHECK(all_serve(f, upstreams, returned));
    check_all_answered(load.finish());
}

} // namespace

TEST_GROUP(drain){};

// Guards against new work in a data centre that is out, failed queries while
// it leaves or returns, and a data centre that stays idle after its return.
TEST(drain, data_centre_leaves_and_returns)
{
    fleet f(loaded_fleet());
    auto const set = [&](char const* state) {
        LONGS_EQUAL(0, f.submit(f.data_centre_object("colombo", state)).code);
    };
    leave_and_return(
        f,
        {.targets = [&] { return targets_outside(f, "colombo"); },
         .body = query,
         .rate = 80},
        upstreams_of(0), [&] { set("out"); }, [&] { set("in"); });
}

// Guards against new work on an upstream that a ticket has set to leaving.
TEST(drain, upstream_leaves_and_returns)
{
    fleet f(loaded_fleet());
    auto const set = [&](char const* state) {
        LONGS_EQUAL(0, f.submit(f.upstream_object(0, state)).code);
    };
    leave_and_return(
        f,
        {.targets = [&] { return f.caller_targets(); },
         .body = query,
         .rate = 80},
        {0}, [&] { set("leaving"); }, [&] { set("active"); });
}

// Guards against new work on an upstream that says itself that it drains.
TEST(drain, upstream_drains_by_itself)
{
    fleet f(loaded_fleet());
    leave_and_return(
        f,
        {.targets = [&] { return f.caller_targets(); },
         .body = query,
         .rate = 80},
        {0}, [&] { f.control_upstream(0, R"({"draining":true})"); },
        [&] { f.control_upstream(0, R"({"draining":false})"); });
}

// Guards against requests that a graceful shutdown cuts off, an exit code that
// hides them, and an owner that hands over slots which are still in use.
TEST(drain, host_stops_gracefully_under_load)
{
    fleet f(loaded_fleet());
    background_load load({.targets = [&] { return ready_targets(f); },
                          .body = query,
                          .rate = 80});
    CHECK(wait_until([&] { return load.samples().size() > 100; }));
    f.hosts()[0].process->signal(SIGTERM);
    LONGS_EQUAL(0, f.hosts()[0].process->wait());
    f.kill_host(0); // it has ended; the fleet leaves it out from now on
    CHECK(wait_until([&] { return f.settled(1); }));
    check_all_answered(load.finish());
    for (std::size_t i = 0; i < f.upstream_ports().size(); ++i) {
        CHECK(upstream_counter(f, i, "max_in_flight") <= 2 + 1);
    }
}
