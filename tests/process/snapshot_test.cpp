#include "testbed/background_load.hpp"
#include "testbed/fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <string>

using namespace testbed;

namespace {

constexpr std::uint32_t services = 6;
constexpr std::uint64_t partitions = 12;
constexpr std::uint64_t records_per_partition = 5;
constexpr std::uint64_t all_records = partitions * records_per_partition;

fleet_options versioned_fleet()
{
    return {.group_settings = "deadline_ms: 3000, ",
            .services = services,
            .upstream_arguments = {"--latency-ms", "2", "--versions", "1",
                                   "--partitions", std::to_string(partitions),
                                   "--records-per-partition",
                                   std::to_string(records_per_partition)}};
}

// Takes any coverage, so that the answer's own claim is what is checked.
std::string const any_coverage =
    R"({"group":"stores-desk","query":{},"limit":100,)"
    R"("min_coverage":0,"partial":true})";

// Replica r of service s is upstream 2 s + r.
void hold(fleet& f, std::size_t replica, std::string const& versions)
{
    for (std::size_t s = 0; s < services; ++s) {
        f.control_upstream(2 * s + replica,
                           "{\"versions\":[" + versions + "]}");
    }
}

// Every partition has the same number of records and all of them match, so
// that the coverage follows from the total.
void check_honest(query_sample const& it)
{
    STRCMP_EQUAL("", it.code.c_str());
    CHECK(!it.mixed);
    CHECK(!it.duplicate);
    LONGS_EQUAL(it.total, it.records);
    if (it.coverage) {
        auto const expected =
            std::llround(*it.coverage * static_cast<double>(all_records));
        LONGS_EQUAL(expected, it.total);
    }
}

bool answered_with(background_load const& load, std::uint64_t version)
{
    auto const all = load.samples();
    return !all.empty() && all.back().snapshot >= version;
}

} // namespace

TEST_GROUP(snapshot){};

// Guards against answers that mix versions, repeat a record of a partition
// that has moved, or misstate their coverage while replicas take up and drop
// versions at different times; each version repartitions the index.
TEST(snapshot, answers_stay_exact_while_versions_roll_over)
{
    constexpr std::uint64_t last_version = 6;
    fleet f(versioned_fleet());
    background_load load({.targets = [&] { return f.caller_targets(); },
                          .body = any_coverage,
                          .rate = 100});
    for (std::uint64_t v = 2; v <= last_version; ++v) {
        auto const both = std::to_string(v - 1) + "," + std::to_string(v);
        hold(f, 0, both);
        hold(f, 1, both);
        hold(f, 0, std::to_string(v));
        hold(f, 1, std::to_string(v));
        CHECK(wait_until([&] { return answered_with(load, v); }));
    }
    auto const samples = load.finish();
    CHECK(samples.size() >= last_version);
    for (auto const& it : samples) {
        check_honest(it);
    }
    CHECK(samples.back().coverage == 1.0);
}

// Guards against a claim of full coverage while a service has no replica that
// takes work, and against a coverage that stays low after its return.
TEST(snapshot, coverage_tells_of_a_service_without_replicas)
{
    fleet f(versioned_fleet());
    background_load load({.targets = [&] { return f.caller_targets(); },
                          .body = any_coverage,
                          .rate = 50});
    auto const covers = [&](double fraction) {
        return wait_until([&] {
            auto const all = load.samples();
            return !all.empty() && all.back().coverage &&
                   std::abs(*all.back().coverage - fraction) < 1e-9;
        });
    };
    CHECK(covers(1.0));
    f.control_upstream(0, R"({"draining":true})");
    f.control_upstream(1, R"({"draining":true})");
    CHECK(covers(1.0 - 1.0 / services));
    f.control_upstream(0, R"({"draining":false})");
    f.control_upstream(1, R"({"draining":false})");
    CHECK(covers(1.0));
    for (auto const& it : load.finish()) {
        check_honest(it);
    }
}
