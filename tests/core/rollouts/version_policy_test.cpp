#include "core/rollouts/decider_rank.hpp"
#include "core/rollouts/version_policy.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

TEST_GROUP(version_policy)
{
    version_policy policy;
    time_point now{from_ms(1000)};
    std::vector<upstream_record> upstreams{
        {.instance = "b", .service = "s", .started_ms = 20, .version = "v2"},
        {.instance = "a", .service = "s", .started_ms = 10, .version = "v1"}};
    rollout_entry entry{.name = "x",
                        .service = "s",
                        .target_version = "v2",
                        .time_limit = from_ms(12'000),
                        .revision = 5,
                        .status = {.state = rollout_state::running,
                                   .target_version = "v2",
                                   .previous_version = "v1",
                                   .token = 1}};

    void update()
    {
        policy.update(upstreams, {entry}, true);
    }
    version_share share()
    {
        return policy.shares(now).at("s");
    }
    bool instruct(std::uint64_t token, std::uint64_t number, double part,
                  rollout_state state = rollout_state::running)
    {
        return policy.on_instruction({.service = "s",
                                      .target_version = "v2",
                                      .token = token,
                                      .number = number,
                                      .state = state,
                                      .share = part,
                                      .decider = "h/1"},
                                     now);
    }
};

// Guards against requests to a new version from a host that no longer hears
// from the deciding host: it may have missed the rollback.
TEST(version_policy, a_share_ends_with_its_lease)
{
    update();
    CHECK(instruct(1, 1, 0.2));
    CHECK(share().share > 0);
    now += from_ms(1499);
    CHECK(share().share > 0);
    now += from_ms(1);
    CHECK(share().role_of("v2") == version_role::unused);
}

// Guards against errors on a host that lost touch after everything had moved,
// and whose old upstreams have stopped.
TEST(version_policy, after_the_move_the_target_stays_as_a_fallback)
{
    update();
    CHECK(instruct(1, 1, 1));
    STRCMP_EQUAL("v2", share().serving.c_str());
    now += from_ms(2000);
    STRCMP_EQUAL("v1", share().serving.c_str());
    CHECK(share().role_of("v2") == version_role::fallback);
}

// Guards against a delayed instruction of a host that has lost the right to
// decide, and against one that overtakes a newer one.
TEST(version_policy, outdated_instructions_are_dropped)
{
    update();
    CHECK(instruct(2, 5, 0.1));
    CHECK_FALSE(instruct(1, 9, 1));
    CHECK_FALSE(instruct(2, 5, 1));
    CHECK_FALSE(instruct(2, 4, 1));
    entry.status.token = 4;
    update();
    CHECK_FALSE(instruct(3, 1, 1));
    STRCMP_EQUAL("v1", share().serving.c_str());
}

// Guards against a version that gets requests again after its rollback, before
// the store has the status.
TEST(version_policy, a_rollback_holds_for_all_later_instructions)
{
    update();
    CHECK(instruct(1, 1, 0.2));
    CHECK(instruct(1, 2, 0, rollout_state::rolled_back));
    CHECK(instruct(2, 1, 0.5));
    CHECK(share().role_of("v2") == version_role::unused);
    entry.status.state = rollout_state::rolled_back;
    update();
    CHECK(share().role_of("v2") == version_role::unused);
}

// Guards against a rollback that a success in the store has overtaken: the old
// upstreams have stopped.
TEST(version_policy, the_status_in_the_store_outweighs_instructions)
{
    update();
    CHECK(instruct(1, 2, 0, rollout_state::rolled_back));
    entry.status.state = rollout_state::succeeded;
    update();
    STRCMP_EQUAL("v2", share().serving.c_str());
}

// Guards against a new version that a starting host takes for the one in use
// because its upstreams are listed first, or started first by their clocks.
TEST(version_policy, the_target_of_an_order_is_not_in_use)
{
    entry.status = {};
    upstreams[0].started_ms = 1;
    update();
    STRCMP_EQUAL("v1", policy.in_use("s").c_str());
}

// Guards against two hosts that take over at once, and against a host that
// cannot get reports.
TEST(version_policy, every_host_has_a_rank_of_its_own)
{
    std::vector<fleet_host> const hosts{{.name = "a", .relay_port = 1},
                                        {.name = "b"},
                                        {.name = "c", .relay_port = 1},
                                        {.name = "d", .relay_port = 1}};
    auto const a = decider_rank(hosts, "a");
    auto const c = decider_rank(hosts, "c");
    auto const d = decider_rank(hosts, "d");
    CHECK(a && c && d);
    UNSIGNED_LONGS_EQUAL(3, *a + *c + *d);
    CHECK(*a != *c && *c != *d && *a != *d);
    CHECK_FALSE(decider_rank(hosts, "b").has_value());
    CHECK_FALSE(decider_rank(hosts, "e").has_value());
}
