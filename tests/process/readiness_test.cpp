#include "testbed/fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>
#include <thread>

using namespace testbed;

namespace {

constexpr auto ready_limit = std::chrono::milliseconds(20'000);

// Polls more often than wait_until, so that the query comes right after the
// host has turned ready.
bool wait_ready(fleet& f, std::size_t i)
{
    auto const end = std::chrono::steady_clock::now() + ready_limit;
    while (!f.ready(i)) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
}

} // namespace

TEST_GROUP(readiness){};

// Guards against a host that reports ready while its routing lacks hosts that
// it could know: its first queries are refused for lack of coverage. With one
// replica a service has no way round a data centre without a known owner.
TEST(readiness, first_query_of_a_ready_host_has_full_coverage)
{
    // The deadline leaves room for a busy machine and for cold upstreams.
    fleet f({.group_settings = "deadline_ms: 5000, min_coverage: 1, ",
             .services = 6,
             .replicas = 1,
             .upstream_arguments = {"--latency-ms", "1", "--partitions", "12",
                                    "--records-per-partition", "5"}});
    for (std::size_t i = 0; i < f.hosts().size(); ++i) {
        f.kill_host(i);
        f.start_host(i);
        CHECK(wait_ready(f, i));
        auto const samples =
            run_load({.targets = {{.port = f.hosts()[i].caller_port}},
                      .body = R"({"group":"stores-desk","query":{}})",
                      .rate = 100,
                      .count = 1});
        STRCMP_EQUAL("", samples[0].code.c_str());
        LONGS_EQUAL(200, samples[0].status);
        CHECK(samples[0].coverage == 1.0);
        CHECK(wait_until([&] { return f.settled(1); }));
    }
}
