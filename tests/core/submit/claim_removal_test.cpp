#include "core/submit/claim_removal.hpp"
#include "submit_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace snipemill;

namespace {

constexpr std::uint64_t hour_ms = 3'600'000;
constexpr std::uint64_t wall_ms = 1000 * hour_ms;
constexpr std::size_t all_parts = 4096; // of the only group

} // namespace

TEST_GROUP(claim_removal)
{
    claim_removal_settings settings;
    std::shared_ptr<routing_view const> view = submit_view();
    time_point now{};

    claim_removal_actions fire(claim_removal & it)
    {
        claim_removal_actions out;
        it.on_timer(now, *view, out);
        return out;
    }
    // Starts a listing, which finds claims of these ages.
    void list(claim_removal & it, std::vector<std::uint64_t> const& ages_ms)
    {
        auto const out = fire(it);
        LONGS_EQUAL(1, out.size());
        CHECK(std::holds_alternative<list_claims>(out[0]));
        std::vector<listed_claim> found;
        found.reserve(ages_ms.size());
        for (auto const age : ages_ms) {
            found.push_back({.key = "claims/stores-desk/" + std::to_string(age),
                             .version = 2,
                             .created = wall_ms - age});
        }
        it.on_listed(wall_ms, found);
    }
    // The keys that are removed at once.
    std::set<std::string> removed(claim_removal & it)
    {
        std::set<std::string> out;
        for (auto const& action : fire(it)) {
            if (auto const* a = std::get_if<remove_claim>(&action)) {
                LONGS_EQUAL(2, a->version);
                CHECK(out.insert(a->key).second);
            }
        }
        return out;
    }
};

// Guards against a second run of a key that is repeated within the promised
// time, after its claim was removed.
TEST(claim_removal, keeps_claims_that_a_repetition_may_need)
{
    claim_removal it(settings);
    list(it, {0, 24 * hour_ms, 25 * hour_ms, 26 * hour_ms - 1, 26 * hour_ms,
              500 * hour_ms});
    auto const keys = removed(it);
    LONGS_EQUAL(2, keys.size());
    CHECK(keys.contains("claims/stores-desk/" + std::to_string(26 * hour_ms)));
    CHECK(keys.contains("claims/stores-desk/" + std::to_string(500 * hour_ms)));
}

// Guards against an age below the promise, whoever sets it.
TEST(claim_removal, the_age_is_never_below_the_minimum)
{
    settings.claim_age = std::chrono::hours(1);
    claim_removal it(settings);
    list(it, {25 * hour_ms});
    LONGS_EQUAL(0, removed(it).size());
}

// Guards against removing the claim of a host whose clock is ahead, or one
// without a time.
TEST(claim_removal, keeps_claims_with_impossible_times)
{
    claim_removal it(settings);
    LONGS_EQUAL(1, fire(it).size());
    it.on_listed(wall_ms, {{"claims/stores-desk/a", 2, wall_ms + 1},
                           {"claims/stores-desk/b", 2, 0}});
    LONGS_EQUAL(0, removed(it).size());
}

// Guards against a burst of removals that takes the platform's rate from
// submits.
TEST(claim_removal, removals_are_bounded_in_any_second)
{
    settings.removals_per_second = 10;
    claim_removal it(settings);
    std::vector<std::uint64_t> ages;
    for (std::uint64_t i = 0; i < 45; ++i) {
        ages.push_back(30 * hour_ms + i);
    }
    list(it, ages);
    std::vector<time_point> times;
    for (int i = 0; i < 200 && times.size() < ages.size(); ++i) {
        now += from_ms(50);
        times.insert(times.end(), removed(it).size(), now);
    }
    LONGS_EQUAL(ages.size(), times.size());
    for (std::size_t i = 10; i < times.size(); ++i) {
        CHECK(times[i] - times[i - 10] >= from_ms(1000));
    }
    CHECK(times.back() - times.front() <= from_ms(5000));
}

// Guards against parts that no host lists, or that all hosts list.
TEST(claim_removal, hosts_divide_the_parts)
{
    std::set<std::string> prefixes;
    std::size_t listings = 0;
    for (auto const* host : {"a", "b", "c"}) {
        view = submit_view(host);
        claim_removal it(settings);
        now = {};
        std::set<std::string> own;
        for (;;) {
            auto const out = fire(it);
            LONGS_EQUAL(1, out.size());
            auto const& prefix = std::get<list_claims>(out[0]).prefix;
            if (!own.insert(prefix).second) {
                break; // the next sweep
            }
            it.on_listed(wall_ms, {});
            now += std::chrono::hours(1);
        }
        CHECK(own.size() > all_parts / 6);
        listings += own.size();
        prefixes.insert(own.begin(), own.end());
    }
    LONGS_EQUAL(all_parts, prefixes.size());
    LONGS_EQUAL(all_parts, listings);
    CHECK(prefixes.contains("claims/stores-desk/0af"));
}

// Guards against listings that overlap, or come more often than set.
TEST(claim_removal, listings_keep_their_distance)
{
    settings.sweep_interval = from_ms(1); // only the shortest distance counts
    claim_removal it(settings);
    LONGS_EQUAL(1, fire(it).size());
    now += std::chrono::hours(1);
    LONGS_EQUAL(0, fire(it).size()); // the first is open
    it.on_listed(wall_ms, {});
    LONGS_EQUAL(1, fire(it).size());
    it.on_listed(wall_ms, {});
    now += settings.list_interval - from_ms(1);
    LONGS_EQUAL(0, fire(it).size());
    now += from_ms(1);
    LONGS_EQUAL(1, fire(it).size());
}

// Guards against listings that grow with the number of hosts.
TEST(claim_removal, the_sweep_spreads_the_listings)
{
    settings.list_interval = from_ms(1);
    settings.sweep_interval = from_ms(1000) * (all_parts / 3);
    claim_removal it(settings); // of three hosts
    LONGS_EQUAL(1, fire(it).size());
    it.on_listed(wall_ms, {});
    now += from_ms(999);
    LONGS_EQUAL(0, fire(it).size());
    now += from_ms(1);
    LONGS_EQUAL(1, fire(it).size());
}

// Guards against removals that go on while the platform fails.
TEST(claim_removal, a_failed_call_ends_the_removals)
{
    settings.removals_per_second = 1;
    claim_removal it(settings);
    list(it, {30 * hour_ms, 31 * hour_ms});
    LONGS_EQUAL(1, removed(it).size());
    it.on_failed();
    now += from_ms(5000);
    LONGS_EQUAL(0, fire(it).size());
    now += std::chrono::hours(1);
    auto const out = fire(it);
    LONGS_EQUAL(1, out.size());
    CHECK(std::holds_alternative<list_claims>(out[0]));
}
