#include "testbed/fleet.hpp"

#include <boost/json/parse.hpp>

#include <CppUTest/TestHarness.h>

using namespace testbed;

namespace {

fleet_options small_fleet()
{
    return {.services = 6,
            .upstream_arguments = {"--latency-ms", "1", "--partitions", "12",
                                   "--records-per-partition", "5"}};
}

constexpr std::uint64_t all_records = 60;

std::string const query = R"({"group":"stores-desk","query":{},"limit":100})";

} // namespace

TEST_GROUP(whole_path){};

// Guards against an answer that depends on the host that was asked, lacks
// records, mixes snapshots or misstates its coverage.
TEST(whole_path, every_host_gives_the_whole_answer)
{
    fleet f(small_fleet());
    auto const samples = run_load({.targets = f.caller_targets(),
                                   .body = query,
                                   .rate = 100,
                                   .count = 60});
    for (auto const& it : samples) {
        LONGS_EQUAL(200, it.status);
        CHECK(it.coverage == 1.0);
        LONGS_EQUAL(all_records, it.total);
        LONGS_EQUAL(all_records, it.records);
        CHECK(!it.mixed);
        CHECK(!it.duplicate);
    }
    LONGS_EQUAL(0, f.sum_upstreams("slot_violations"));
    LONGS_EQUAL(0, f.sum_upstreams("connection_violations"));
}

// Guards against bad input that ends the process or gets no typed refusal.
TEST(whole_path, bad_input_is_refused_and_the_host_goes_on)
{
    fleet f(small_fleet());
    auto const target = f.caller_targets().front();
    auto const refused = [&](std::string const& body, char const* code) {
        auto const samples = run_load(
            {.targets = {target}, .body = body, .rate = 100, .count = 1});
        LONGS_EQUAL(4, samples[0].status / 100);
        STRCMP_EQUAL(code, samples[0].code.c_str());
        STRCMP_EQUAL("not_run", samples[0].run.c_str());
    };
    refused("{", "malformed_request");
    refused("[]", "malformed_request");
    refused(R"({"group":"no-such-group","query":{}})", "unknown_group");
    refused(std::string(2 * 1024 * 1024, 'x'), "body_too_large");

    auto const samples =
        run_load({.targets = {target}, .body = query, .rate = 100, .count = 1});
    LONGS_EQUAL(200, samples[0].status);
}

// Guards against operator pages that break while the host serves.
TEST(whole_path, operators_see_metrics_status_and_time_line)
{
    fleet f(small_fleet());
    auto const port = f.hosts()[0].operator_port;
    run_load({.targets = {f.caller_targets().front()},
              .body = query,
              .rate = 100,
              .count = 3});
    auto const metrics = http_request_body(port, "GET", "/metrics");
    CHECK(metrics.has_value());
    CHECK(metrics->find("snipemill_queries_total 3") != std::string::npos);
    CHECK(metrics->find("snipemill_query_coverage_count 3") !=
          std::string::npos);
    auto const operator_address = "127.0.0.1:" + std::to_string(port);
    auto const status = f.run({"status", "--host", operator_address});
    LONGS_EQUAL(0, status.code);
    CHECK(status.output.find("stores-desk-1-1") != std::string::npos);
    auto const timeline = f.run(
        {"timeline", "--host", operator_address, "--kind", "config_adopted"});
    LONGS_EQUAL(0, timeline.code);
    CHECK(timeline.output.find("gampaha-2") != std::string::npos);
}
