#include "forward_control_fixture.hpp"

using namespace snipemill;
using namespace snipemill::test;

namespace {

struct floors_fixture : forward_control_fixture
{
    void start_all()
    {
        start();
        store.complete_list(store_kind::crashes, store_page{.revision = 10});
    }
};

} // namespace

TEST_GROUP_BASE(forward_control_floors, floors_fixture){};

// Watches of an idle store are open, and the store answers them with outdated
// data. Guards against a manifest, an evacuation or a leaving upstream that a
// host learns of later than the limit.
TEST(forward_control_floors, a_change_that_watches_do_not_show_is_read)
{
    start_all();
    CHECK(wait_read());
    CHECK(store.reads[0].kind == store_kind::manifests);
    CHECK(store.reads[0].age == read_age::current);
    UNSIGNED_LONGS_EQUAL(10, store.reads[0].revision);
    store.complete_read(
        store_events{.events = {{.entry = manifest_entry(9)}}, .revision = 14});
    UNSIGNED_LONGS_EQUAL(9, last_snapshot->current->state->version);
    // The store has changed, so every kind is read.
    CHECK(store.reads[0].kind == store_kind::upstreams);
    CHECK(store.reads[0].age == read_age::current);
    store.complete_read(store_events{.revision = 14});
    CHECK(store.reads[0].kind == store_kind::evacuations);
    store.complete_read(store_events{
        .events = {{.entry = {.name = "dc", .value = evacuation_entry{}}}},
        .revision = 14});
    CHECK(last_snapshot->evacuated.contains("dc"));
    // The open watch answers with the older state.
    store.complete_watch(
        store_kind::manifests,
        store_events{.events = {{.entry = manifest_entry(7)}}, .revision = 12});
    UNSIGNED_LONGS_EQUAL(9, last_snapshot->current->state->version);
    store.complete_watch(
        store_kind::evacuations,
        store_events{.events = {{.entry = {.name = "dc"}, .deleted = true}},
                     .revision = 12});
    CHECK(last_snapshot->evacuated.contains("dc"));
}

// Guards against a read that is taken to hold for a kind whose first listing,
// which may be outdated, comes later.
TEST(forward_control_floors, reads_begin_when_every_kind_is_listed)
{
    start();
    auto const end =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(2500);
    run_until(io, [&] { return std::chrono::steady_clock::now() > end; });
    CHECK(store.reads.empty());
    store.complete_list(store_kind::crashes, store_page{.revision = 10});
    CHECK(wait_read());
}

// Guards against hosts that each read every kind at an interval although the
// store has not changed.
TEST(forward_control_floors, an_unchanged_store_costs_one_read)
{
    start_all();
    CHECK(wait_read());
    store.complete_read(store_events{.revision = 10});
    CHECK(store.reads.empty());
}

// Another host has read the store. Guards against a host that does not notice
// that its own watch shows outdated data, and against a host that reads the
// store although another one does.
TEST(forward_control_floors, a_kind_below_the_floor_of_another_host_is_read)
{
    start_all();
    floor_message message{.floor = {.revision = 15}};
    message.floor.floors.fill(10);
    message.floor.floors[0] = 15; // the manifests
    control.on_floor(message);
    CHECK(wait_read());
    CHECK(store.reads[0].kind == store_kind::manifests);
    // First a cheap call, which is enough when only other kinds have changed.
    CHECK(store.reads[0].age == read_age::may_be_old);
    store.complete_read(store_events{.revision = 10});
    CHECK(store.reads[0].age == read_age::current);
    store.complete_read(
        store_events{.events = {{.entry = manifest_entry(9)}}, .revision = 15});
    UNSIGNED_LONGS_EQUAL(9, last_snapshot->current->state->version);
    CHECK(store.reads.empty());
}

// Guards against a watch that delivers a change in time and is read all the
// same.
TEST(forward_control_floors, a_kind_that_reaches_the_floor_is_not_read)
{
    start_all();
    floor_message message{.floor = {.revision = 15}};
    message.floor.floors[0] = 15;
    control.on_floor(message);
    store.complete_watch(
        store_kind::manifests,
        store_events{.events = {{.entry = manifest_entry(9)}}, .revision = 15});
    auto const end =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(700);
    run_until(io, [&] { return std::chrono::steady_clock::now() > end; });
    CHECK(store.reads.empty());
}

// Guards against floors that stop at the first host of a data centre, and
// against floors that hosts send back and forth.
TEST(forward_control_floors, the_first_host_passes_floors_on_once)
{
    std::vector<std::string> receivers;
    control.pass_floors_with(
        [&](fleet_host const& to, floor_message const& it) {
            CHECK_FALSE(it.pass_on);
            receivers.push_back(to.name);
        });
    start();
    auto const now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
    auto const entry = [now_ms](char const* name) {
        return store_entry{
            .name = name,
            .value = host_entry{now_ms, {.name = name, .relay_port = 1}}};
    };
    store.complete_list(
        store_kind::hosts,
        store_page{.entries = {entry("h1"), entry("h2")}, .revision = 10});
    floor_message message{.floor = {.revision = 15}, .pass_on = true};
    control.on_floor(message);
    control.on_floor(
        {.floor = {.revision = 15, .age = from_ms(500)}, .pass_on = true});
    LONGS_EQUAL(1, receivers.size());
    STRCMP_EQUAL("h2", receivers[0].c_str());
    control.on_floor({.floor = {.revision = 16}, .pass_on = false});
    LONGS_EQUAL(1, receivers.size());
}
