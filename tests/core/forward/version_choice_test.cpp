#include "forward_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::test;

namespace {

struct version_fixture : forward_fixture
{
    version_fixture()
    {
        records.clear();
        for (auto const* const version : {"v1", "v2", "v3"}) {
            for (int i = 0; i < 6; ++i) {
                records.push_back(
                    {.instance = version + std::string("-") + std::to_string(i),
                     .service = "s0",
                     .ip = "192.0.2.1",
                     .port = static_cast<std::uint16_t>(records.size() + 1),
                     .data_centre = "a",
                     .slots = 2,
                     .version = version});
            }
        }
        fleet.set_services({{.name = "s0"}});
    }
    void share(version_share it)
    {
        fleet.set_versions({{"s0", std::move(it)}});
        update();
    }
    // Number of requests that each instance gets out of n.
    std::map<std::string, int>
    choose(int n, std::vector<upstream_ptr> const& exclude = {})
    {
        std::map<std::string, int> out;
        for (int i = 0; i < n; ++i) {
            choice_failure why{};
            auto const it = fleet.choose(
                {.service = names.data(), .exclude = &exclude, .now = now},
                why);
            ++out[it ? it->record.instance : "none"];
        }
        return out;
    }
    static int of(std::map<std::string, int> const& counts,
                  std::string const& version)
    {
        int n = 0;
        for (auto const& [instance, count] : counts) {
            n += instance.starts_with(version) ? count : 0;
        }
        return n;
    }
};

} // namespace

TEST_GROUP(version_choice)
{
    version_fixture f;
};

// Guards against deployments without rollouts that stop using upstreams.
TEST(version_choice, all_versions_serve_without_shares)
{
    f.update();
    auto const counts = f.choose(600);
    CHECK(f.of(counts, "v1") > 100);
    CHECK(f.of(counts, "v2") > 100);
    CHECK(f.of(counts, "v3") > 100);
}

// Guards against requests to a version that no entry has asked for, also to
// upstreams of it that the store lists later.
TEST(version_choice, versions_that_nobody_asked_for_get_nothing)
{
    f.share({.serving = "v1"});
    auto more = f.records.back();
    more.instance = "v3-late";
    f.records.push_back(more);
    f.update();
    LONGS_EQUAL(600, f.of(f.choose(600), "v1"));
}

// Guards against a share that is not kept, and against one that is spread so
// thinly that a new upstream is loaded less than an old one.
TEST(version_choice, share_goes_to_as_many_new_upstreams_as_it_loads)
{
    f.share(
        {.serving = "v1", .canary = "v2", .has_canary = true, .share = 0.1});
    auto const counts = f.choose(3000);
    CHECK(f.of(counts, "v2") > 230);
    CHECK(f.of(counts, "v2") < 370);
    LONGS_EQUAL(0, f.of(counts, "v3"));
    LONGS_EQUAL(1, std::count_if(counts.begin(), counts.end(), [](auto& it) {
                    return it.first.starts_with("v2");
                }));
    f.share(
        {.serving = "v1", .canary = "v2", .has_canary = true, .share = 0.5});
    auto const half = f.choose(3000);
    LONGS_EQUAL(3, std::count_if(half.begin(), half.end(), [](auto& it) {
                    return it.first.starts_with("v2");
                }));
}

// Guards against a repeated request that a bad version gets twice.
TEST(version_choice, repeated_requests_go_to_the_version_in_use)
{
    f.share(
        {.serving = "v1", .canary = "v2", .has_canary = true, .share = 0.5});
    LONGS_EQUAL(300, f.of(f.choose(300, {f.upstream("v2-0")}), "v1"));
}

// Guards against a service that counts as available because of upstreams that
// get a share only.
TEST(version_choice, a_canary_does_not_make_a_service_available)
{
    std::erase_if(f.records, [](auto const& it) { return it.version == "v1"; });
    f.share(
        {.serving = "v1", .canary = "v2", .has_canary = true, .share = 0.1});
    CHECK_FALSE(f.fleet.available("s0", f.now));
    CHECK_FALSE(f.fleet.listed("s0"));
}

// A host has lost touch after everything was moved. Guards against requests to
// a version that may have been rolled back while the old one is there, and
// against failures when it has stopped.
TEST(version_choice, fallback_serves_only_without_the_version_in_use)
{
    version_share const it{
        .serving = "v1", .canary = "v2", .has_canary = true, .fallback = true};
    f.share(it);
    LONGS_EQUAL(300, f.of(f.choose(300), "v1"));
    std::erase_if(f.records,
                  [](auto const& one) { return one.version == "v1"; });
    f.update();
    LONGS_EQUAL(300, f.of(f.choose(300), "v2"));
    CHECK(f.fleet.available("s0", f.now));
}

// Guards against counters that lack requests of a version, or count an
// upstream's refusal as a failure of its version.
TEST(version_choice, exchanges_are_counted_by_version_and_route)
{
    version_counters counters;
    counters.set_targets({{"s0", "v2"}});
    f.shared.versions = &counters;
    f.share({.serving = "v2"});
    for (int i = 0; i < 4; ++i) {
        auto const route = f.single_route(idempotency::at_most_once);
        service_fetch fetch(
            {.shared = &f.shared,
             .route = &route,
             .service = f.names.data(),
             .request = std::make_shared<forward_request const>(),
             .attempts = 1,
             .end = f.now + from_ms(800)});
        fetch.start();
        auto const n = f.exchanges.all.size() - 1;
        f.now += from_ms(20);
        upstream_answer answer = good_answer();
        answer.status = i == 1 ? 500 : 200;
        if (i == 2) {
            f.exchanges.end(n, exchange_lost{});
        }
        else if (i < 2) {
            f.exchanges.end(n, std::move(answer));
        }
    }
    auto const reports = counters.reports();
    UNSIGNED_LONGS_EQUAL(1, reports.size());
    auto const& target = reports[0].routes.at(0).target;
    UNSIGNED_LONGS_EQUAL(4, target.sent);
    UNSIGNED_LONGS_EQUAL(3, target.ended);
    UNSIGNED_LONGS_EQUAL(2, target.failed);
    auto const bucket = latency_counts::bucket_of(from_ms(20));
    UNSIGNED_LONGS_EQUAL(1, target.latencies.counts[bucket]);
    UNSIGNED_LONGS_EQUAL(0, reports[0].routes[0].previous.sent);
}
