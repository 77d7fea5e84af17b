#include "app/core_time.hpp"
#include "forward_control_fixture.hpp"

#include <chrono>

using namespace snipemill;
using namespace snipemill::test;

namespace {

std::int64_t wall_clock_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

rollout_entry order(std::uint64_t revision = 20)
{
    return {.name = "x",
            .service = "s1",
            .target_version = "v2",
            .time_limit = from_ms(12'000),
            .revision = revision};
}

store_entry upstream(std::string const& name, std::string const& version)
{
    return {.name = name,
            .value = upstream_record{.instance = name,
                                     .service = "s1",
                                     .ip = "192.0.2.1",
                                     .port = 1,
                                     .started_ms = version == "v1" ? 1 : 2,
                                     .version = version}};
}

struct rollout_control_fixture : Utest
{
    rollout_control_fixture()
    {
        settings.rollouts.emplace();
        control.emplace(io, settings, store,
                        [this](auto it) { last_snapshot = std::move(it); });
        control->rollouts()->connect(
            {.publish = [this](auto shares,
                               auto) { published = std::move(shares); },
             .collect = [](auto f) { f({}); },
             .send =
                 [this](fleet_host const& to, rollout_message const& it) {
                     sent.emplace_back(to.name, it);
                 }});
    }
    void start(std::vector<rollout_entry> const& entries)
    {
        control->start();
        store.complete_list(
            store_kind::manifests,
            store_page{.entries = {manifest_entry(5)}, .revision = 10});
        store.complete_list(
            store_kind::upstreams,
            store_page{.entries = {upstream("a", "v1"), upstream("b", "v2")},
                       .revision = 10});
        store.complete_list(store_kind::evacuations,
                            store_page{.revision = 10});
        store_page page{.revision = 10};
        for (auto const& it : entries) {
            page.entries.push_back({.name = it.name, .value = it});
        }
        store.complete_list(store_kind::rollouts, page);
        auto const host = [](std::string const& name) {
            return store_entry{.name = name,
                               .value =
                                   host_entry{wall_clock_ms(),
                                              {.name = name, .relay_port = 1}}};
        };
        store.complete_list(
            store_kind::hosts,
            store_page{.entries = {host(settings.name)}, .revision = 10});
    }

    boost::asio::io_context io;
    scripted_store store;
    forward_settings settings{.name = "h1"};
    std::shared_ptr<forward_snapshot const> last_snapshot;
    std::optional<forward_control> control;
    version_shares published;
    std::vector<std::pair<std::string, rollout_message>> sent;
};

} // namespace

TEST_GROUP_BASE(rollout_control, rollout_control_fixture){};

// Guards against a deployment without rollouts that lists their kind, or that
// leaves out upstreams by their version.
TEST(rollout_control, the_kind_is_not_followed_without_the_setting)
{
    settings.rollouts.reset();
    control.emplace(io, settings, store,
                    [this](auto it) { last_snapshot = std::move(it); });
    control->start();
    store.complete_list(
        store_kind::manifests,
        store_page{.entries = {manifest_entry(5)}, .revision = 10});
    store.complete_list(
        store_kind::upstreams,
        store_page{.entries = {upstream("a", "v1"), upstream("b", "v2")},
                   .revision = 10});
    store.complete_list(store_kind::evacuations, store_page{.revision = 10});
    store.complete_watch(store_kind::upstreams, store_error::history_gone);
    LONGS_EQUAL(0, store.list_counts[store_kind::rollouts]);
    CHECK(last_snapshot->complete);
    CHECK(last_snapshot->versions.empty());
}

// Guards against a host that serves before it knows which versions are in use.
TEST(rollout_control, upstreams_of_an_unordered_version_are_not_used)
{
    start({});
    CHECK(last_snapshot->complete);
    auto const& it = last_snapshot->versions.at("s1");
    STRCMP_EQUAL("v1", it.serving.c_str());
    CHECK(it.role_of("v2") == version_role::unused);
}

// Guards against an order that is not begun, a status without the condition on
// the revision or without the version in use, and a share before the store has
// confirmed the right to decide.
TEST(rollout_control, takes_an_order_and_writes_its_status)
{
    start({});
    store.complete_watch(
        store_kind::rollouts,
        store_events{.events = {{.entry = {.name = "x", .value = order()}}},
                     .revision = 20});
    CHECK(run_until(io, [&] { return !store.put_statuses.empty(); }));
    auto written = store.put_statuses[0];
    UNSIGNED_LONGS_EQUAL(20, written.revision);
    CHECK(written.status.state == rollout_state::running);
    STRCMP_EQUAL("v1", written.status.previous_version.c_str());
    UNSIGNED_LONGS_EQUAL(1, written.status.token);
    CHECK(sent.empty());
    CHECK(last_snapshot->versions.at("s1").share <= 0);
    written.revision = 21;
    store.on_status_put(status_write::done, written);
    CHECK(run_until(io, [&] {
        return published.contains("s1") && published.at("s1").share > 0;
    }));
}

// A host that believes that it decides gets a newer decider's instruction.
// Guards against two deciding hosts.
TEST(rollout_control, a_higher_token_ends_the_right_to_decide)
{
    start({});
    store.complete_watch(
        store_kind::rollouts,
        store_events{.events = {{.entry = {.name = "x", .value = order()}}},
                     .revision = 20});
    CHECK(run_until(io, [&] { return !store.put_statuses.empty(); }));
    auto written = store.put_statuses[0];
    written.revision = 21;
    store.on_status_put(status_write::done, written);
    rollout_instruction const newer{.service = "s1",
                                    .target_version = "v2",
                                    .token = 2,
                                    .number = 1,
                                    .state = rollout_state::rolled_back,
                                    .decider = "h2/7"};
    control->rollouts()->on_message(newer);
    forward_metrics metrics;
    control->report(metrics);
    CHECK(metrics.text().find("rollouts_deciding 0") != std::string::npos);
    auto stale = newer;
    stale.token = 1;
    stale.number = 99;
    stale.state = rollout_state::running;
    stale.share = 1;
    control->rollouts()->on_message(stale);
    CHECK(published.empty() || published.at("s1").serving == "v1");
}

// Guards against a host that starts after a rollout and uses the version that
// was rolled back, or not the one that succeeded.
TEST(rollout_control, a_starting_host_uses_the_version_of_the_status)
{
    auto it = order();
    it.status = {.state = rollout_state::succeeded,
                 .target_version = "v2",
                 .previous_version = "v1",
                 .token = 1};
    start({it});
    STRCMP_EQUAL("v2", last_snapshot->versions.at("s1").serving.c_str());
    CHECK(store.put_statuses.empty());
}
