#include "testbed/background_load.hpp"
#include "testbed/fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <csignal>
#include <string>
#include <vector>

using namespace testbed;

namespace {

constexpr std::uint32_t slots = 2;
constexpr auto new_owner_limit = std::chrono::milliseconds(15'000);

} // namespace

TEST_GROUP(owner_loss){};

// Guards against upstreams that stay without an owner, queries that end with
// the lost host, and two owners that together overload an upstream.
TEST(owner_loss, upstreams_of_a_killed_host_get_new_owners)
{
    // The retry budget bounds how many targets move to the second owner at
    // once, so answers may lack some coverage until ownership has moved.
    fleet f({.group_settings = "deadline_ms: 3000, min_coverage: 0.5, ",
             .services = 6,
             .slots = slots,
             .upstream_arguments = {"--latency-ms", "10", "--partitions", "12",
                                    "--records-per-partition", "5"}});
    std::vector<load_target> others;
    for (std::size_t i = 1; i < f.hosts().size(); ++i) {
        others.push_back({.port = f.hosts()[i].caller_port});
    }
    background_load load(
        {.targets = [&] { return others; },
         .body = R"({"group":"stores-desk","query":{},"limit":100})",
         .rate = 80});
    CHECK(wait_until([&] { return load.samples().size() > 100; }));
    f.kill_host(0);
    CHECK(wait_until([&] { return f.settled(1); }, new_owner_limit));
    // Full service returns.
    auto const settled_at = load.samples().size();
    CHECK(wait_until([&] {
        auto const all = load.samples();
        return all.size() > settled_at + 100 && all.back().coverage == 1.0;
    }));
    for (auto const& it : load.finish()) {
        STRCMP_EQUAL("", it.code.c_str());
        LONGS_EQUAL(200, it.status);
    }
    for (std::size_t i = 0; i < f.upstream_ports().size(); ++i) {
        auto const all = f.upstream_counters(i);
        CHECK(all.has_value());
        CHECK(all->at("max_in_flight").to_number<std::uint32_t>() <= slots + 1);
    }
}

// Guards against queries that fail because a data centre hangs and membership
// has not noticed yet, while the others can serve all of the index.
TEST(owner_loss, frozen_data_centre_fails_no_query)
{
    // The deadline leaves room for a busy machine; without moves, every query
    // that has a sub-request at a frozen host waits for it and then fails.
    fleet f({.group_settings = "deadline_ms: 5000, min_coverage: 1, "
                               "hedge_budget: 0, ",
             .services = 12,
             .upstream_arguments = {"--latency-ms", "2", "--partitions", "24",
                                    "--records-per-partition", "5"}});
    std::vector<load_target> others;
    std::vector<child_process*> frozen;
    for (auto const& it : f.hosts()) {
        if (it.data_centre == "gampaha") {
            frozen.push_back(it.process.get());
        }
        else {
            others.push_back({.port = it.caller_port});
        }
    }
    load_options load{.targets = others,
                      .body = R"({"group":"stores-desk","query":{}})",
                      .rate = 20,
                      .count = 40};
    load.before = [&](std::uint32_t i, std::chrono::milliseconds) {
        if (i == 10) {
            for (auto* it : frozen) {
                it->signal(SIGSTOP);
            }
        }
    };
    auto const samples = run_load(load);
    for (auto* it : frozen) {
        it->signal(SIGCONT);
    }
    for (auto const& it : samples) {
        STRCMP_EQUAL("", it.code.c_str());
        LONGS_EQUAL(200, it.status);
        CHECK(it.coverage == 1.0);
    }
}
