#include "testbed/fleet.hpp"

#include <boost/json/parse.hpp>

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace testbed;

namespace {

fleet_options crash_fleet()
{
    return {.group_settings = "first_step: true, ",
            .services = 6,
            .upstream_arguments = {"--latency-ms", "1", "--restart-ms", "300",
                                   "--partitions", "12",
                                   "--records-per-partition", "5"}};
}

std::string const crashing =
    R"({"group":"stores-desk","query":{"crash":true},"limit":10})";
std::string const normal = R"({"group":"stores-desk","query":{},"limit":100})";

query_sample send_one(load_target const& target, std::string const& body)
{
    return run_load(
        {.targets = {target}, .body = body, .rate = 100, .count = 1})[0];
}

std::string operator_address(fleet& f, std::size_t i)
{
    return "127.0.0.1:" + std::to_string(f.hosts()[i].operator_port);
}

boost::json::array crashes_at(fleet& f, std::size_t i)
{
    auto const out =
        f.run({"crashes", "list", "--host", operator_address(f, i)});
    LONGS_EQUAL(0, out.code);
    return boost::json::parse(out.output).at("crashes").as_array();
}

bool listed_everywhere(fleet& f, std::size_t count)
{
    for (std::size_t i = 0; i < f.hosts().size(); ++i) {
        if (crashes_at(f, i).size() != count) {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_GROUP(crash){};

// Guards against one request that takes down upstream after upstream while
// its caller sends it again.
TEST(crash, a_crashing_query_takes_down_at_most_two_upstreams)
{
    fleet f(crash_fleet());
    auto const targets = f.caller_targets();
    std::vector<query_sample> normal_samples;
    std::thread others([&] {
        normal_samples = run_load(
            {.targets = targets, .body = normal, .rate = 50, .count = 250});
    });
    std::vector<query_sample> samples;
    for (std::size_t i = 0; i < 20; ++i) {
        samples.push_back(send_one(targets[i % targets.size()], crashing));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    others.join();
    for (auto const& it : normal_samples) {
        LONGS_EQUAL_TEXT(200, it.status, it.code.c_str());
    }
    CHECK(f.sum_upstreams("crashes") >= 1);
    CHECK(f.sum_upstreams("crashes") <= 2);
    STRCMP_EQUAL("quarantined", samples.back().code.c_str());
    STRCMP_EQUAL("not_run", samples.back().run.c_str());
}

// Guards against an operator's entry that does not reach all hosts, and
// against one that cannot be removed.
TEST(crash, an_operator_adds_and_removes_a_fingerprint)
{
    fleet f(crash_fleet());
    auto const targets = f.caller_targets();
    auto const added =
        f.run({"crashes", "add", "4711", "--host", operator_address(f, 0)});
    LONGS_EQUAL(0, added.code);
    CHECK(wait_until([&] { return listed_everywhere(f, 1); }));
    auto const record = crashes_at(f, 5)[0];
    STRCMP_EQUAL("4711", record.at("fingerprint").as_string().c_str());
    CHECK(record.at("manual").as_bool());
    LONGS_EQUAL(200, send_one(targets[0], normal).status);

    auto const removed =
        f.run({"crashes", "remove", "4711", "--host", operator_address(f, 0)});
    LONGS_EQUAL(0, removed.code);
    CHECK(wait_until([&] { return listed_everywhere(f, 0); }));
    // Probes must not bring the entry back.
    std::this_thread::sleep_for(std::chrono::milliseconds(3000));
    CHECK(listed_everywhere(f, 0));
}

// Guards against a quarantine that stays in force after it has expired.
TEST(crash, a_quarantine_ends)
{
    auto options = crash_fleet();
    options.host_settings = "crashes: {expiry_ms: 3000}\n";
    fleet f(options);
    auto const target = f.caller_targets()[0];
    // A second crash of the same query puts it into quarantine.
    CHECK(wait_until(
        [&] { return send_one(target, crashing).code == "quarantined"; }));
    CHECK(wait_until(
        [&] { return send_one(target, crashing).code != "quarantined"; }));
}
