#include "forward_control_fixture.hpp"

using namespace snipemill;
using namespace snipemill::test;

TEST_GROUP_BASE(forward_control, forward_control_fixture){};

// Guards against a host that reports ready before it has read every kind.
TEST(forward_control, is_complete_when_every_kind_was_read)
{
    control.start();
    store.complete_list(
        store_kind::manifests,
        store_page{.entries = {manifest_entry(5)}, .revision = 10});
    store.complete_list(store_kind::upstreams, store_page{.revision = 10});
    CHECK_FALSE(last_snapshot->complete);
    store.complete_list(store_kind::evacuations, store_page{.revision = 10});
    CHECK(last_snapshot->complete);
}

// Guards against going back to an older manifest when the store sends or
// deletes an older version.
TEST(forward_control, manifests_only_move_forward)
{
    start();
    store.complete_watch(
        store_kind::manifests,
        store_events{.events = {{.entry = manifest_entry(9)}}, .revision = 11});
    UNSIGNED_LONGS_EQUAL(9, last_snapshot->current->state->version);
    store.complete_watch(
        store_kind::manifests,
        store_events{.events = {{.entry = manifest_entry(7)}}, .revision = 12});
    UNSIGNED_LONGS_EQUAL(9, last_snapshot->current->state->version);
    store.complete_watch(
        store_kind::manifests,
        store_events{.events = {{.entry = manifest_entry(9), .deleted = true}},
                     .revision = 13});
    UNSIGNED_LONGS_EQUAL(9, last_snapshot->current->state->version);
}

// A store that drops its history does not report the dropped changes to open
// watches. Guards against watches that stay open so long that the loss is
// detected later than the limit of 3 s.
TEST(forward_control, no_watch_waits_up_to_the_bound_of_its_kind)
{
    start();
    CHECK(store.watch_timeouts[store_kind::manifests] <= from_ms(2000));
    CHECK(store.watch_timeouts[store_kind::upstreams] <= from_ms(2000));
    CHECK(store.watch_timeouts[store_kind::evacuations] <= from_ms(4000));
}

// Load pattern: hundreds of hosts on a quiet day. Guards against a watch that
// outlasts the history of the store: it fails, and every host lists every kind
// again.
TEST(forward_control, no_watch_outlasts_the_history_of_the_store)
{
    start();
    store.complete_list(store_kind::hosts, store_page{.revision = 10});
    store.complete_list(store_kind::crashes, store_page{.revision = 10});
    UNSIGNED_LONGS_EQUAL(5, store.watch_timeouts.size());
    for (auto const& [kind, timeout] : store.watch_timeouts) {
        CHECK(timeout < settings.store_history);
    }
}

// Guards against watches that stay open after the watch of another kind has
// failed because the history is lost.
TEST(forward_control, lost_history_of_one_kind_lists_every_kind)
{
    start();
    auto const stale = store.on_watch[store_kind::manifests];
    store.complete_watch(store_kind::upstreams, store_error::history_gone);
    LONGS_EQUAL(2, store.list_counts[store_kind::manifests]);
    LONGS_EQUAL(2, store.list_counts[store_kind::upstreams]);
    LONGS_EQUAL(2, store.list_counts[store_kind::evacuations]);
    // The result of the old watch arrives late and is ignored.
    stale(store_events{.revision = 11});
    LONGS_EQUAL(2, store.list_counts[store_kind::manifests]);
}

// Guards against a host that starts with an expensive up-to-date listing of
// each kind, where only the manifest needs one, and against a stale listing
// after lost history, which misses the dropped changes.
TEST(forward_control, only_the_first_listing_may_be_old)
{
    start();
    CHECK(store.list_ages[store_kind::upstreams] == read_age::may_be_old);
    CHECK(store.list_ages[store_kind::manifests] == read_age::current);
    store.complete_watch(store_kind::upstreams, store_error::history_gone);
    CHECK(store.list_ages[store_kind::upstreams] == read_age::current);
    CHECK(store.list_ages[store_kind::manifests] == read_age::current);
}

// Guards against shares of the fleet that count stopped hosts, and against
// entries of stopped hosts that stay in the store.
TEST(forward_control, counts_the_hosts_that_renew_their_entries)
{
    start();
    auto const now = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
    store.complete_list(
        store_kind::hosts,
        store_page{
            .entries = {{.name = "h1", .value = host_entry{now}},
                        {.name = "h2", .value = host_entry{now - 100'000}},
                        {.name = "h3", .value = host_entry{now - 200'000}}},
            .revision = 10});
    UNSIGNED_LONGS_EQUAL(2, last_snapshot->hosts.size());
    CHECK(store.removed_hosts.back() == "h3");
}

// The removal by a process that has ended reaches the store after its successor
// has written the same entry. Guards against a host that the fleet does not
// count until its next renewal.
TEST(forward_control, an_entry_that_is_removed_later_is_written_again)
{
    start();
    store.on_put(true);
    store.complete_list(
        store_kind::hosts,
        store_page{.entries = {{.name = "h1", .value = host_entry{}}},
                   .revision = 10});
    UNSIGNED_LONGS_EQUAL(1, store.put_hosts.size());
    store.complete_watch(
        store_kind::hosts,
        store_events{.events = {{.entry = {.name = "h1"}, .deleted = true}},
                     .revision = 11});
    UNSIGNED_LONGS_EQUAL(2, store.put_hosts.size());
    // Once for each removal.
    CHECK(wait_watch(store_kind::hosts, 2));
    store.complete_watch(store_kind::hosts, store_events{.revision = 12});
    UNSIGNED_LONGS_EQUAL(2, store.put_hosts.size());
}

// A host restarts; an outdated copy of the store still has an upstream that has
// left and lacks an evacuation. Guards against serving by that copy.
TEST(forward_control, a_restarted_host_does_not_serve_by_an_outdated_listing)
{
    control.start();
    store.complete_list(
        store_kind::manifests,
        store_page{.entries = {manifest_entry(5)}, .revision = 20});
    store.complete_list(
        store_kind::upstreams,
        store_page{.entries = {{.name = "i-1",
                                .value = upstream_record{.instance = "i-1"}}},
                   .revision = 12});
    store.complete_list(store_kind::evacuations, store_page{.revision = 12});
    CHECK_FALSE(last_snapshot->complete);
    CHECK(store.list_ages[store_kind::upstreams] == read_age::current);
    CHECK(store.list_ages[store_kind::evacuations] == read_age::current);
    store.complete_list(store_kind::upstreams, store_page{.revision = 20});
    CHECK(last_snapshot->upstreams.empty());
    store.complete_list(
        store_kind::evacuations,
        store_page{.entries = {{.name = "dc", .value = evacuation_entry{}}},
                   .revision = 20});
    CHECK(last_snapshot->complete);
    CHECK(last_snapshot->evacuated.contains("dc"));
}

// The store fails right after it has given outdated listings. Guards against a
// host that does not serve with what it has.
TEST(forward_control, serves_by_an_outdated_listing_while_the_store_fails)
{
    control.start();
    store.complete_list(
        store_kind::manifests,
        store_page{.entries = {manifest_entry(5)}, .revision = 20});
    for (auto const kind : {store_kind::upstreams, store_kind::evacuations}) {
        store.complete_list(kind, store_page{.revision = 12});
        store.complete_list(kind, store_error::unavailable);
    }
    CHECK(last_snapshot->complete);
}

// Guards against a draining host that stays in the count of hosts, for example
// because it renews its entry after removing it.
TEST(forward_control, a_leaving_host_removes_its_entry)
{
    start();
    UNSIGNED_LONGS_EQUAL(1, store.put_hosts.size());
    control.deregister();
    UNSIGNED_LONGS_EQUAL(1, store.removed_hosts.size());
    store.on_put(false);
    run_until(
        io, [] { return false; }, std::chrono::seconds(0));
    UNSIGNED_LONGS_EQUAL(1, store.put_hosts.size());
}

// Guards against waiting for the full retry delay of a failed call after the
// store has become available again.
TEST(forward_control, calls_again_when_the_store_returns)
{
    control.start();
    for (int i = 0; i < 8; ++i) {
        store.complete_list(store_kind::manifests, store_error::unavailable);
        control.on_store_available();
        CHECK(wait_list(store_kind::manifests, i + 2));
    }
}

// Guards against a crash that other hosts, and this one after a restart, never
// learn of because the store was unavailable when it was seen.
TEST(forward_control, a_crash_is_saved_again_until_the_store_holds_it)
{
    start();
    crash_entry const entry{
        .print = fingerprint(5), .upstream = upstream_id(6), .seen_ms = 7};
    control.save_crash(entry);
    UNSIGNED_LONGS_EQUAL(1, store.put_crashes.size());
    store.on_crash_change(false);
    CHECK(run_until(io, [&] { return store.put_crashes.size() == 2; }));
    CHECK(store.put_crashes[1] == entry);
    store.on_crash_change(true);
    control.on_store_available();
    UNSIGNED_LONGS_EQUAL(2, store.put_crashes.size());
}

// Guards against a request that stays refused after it was answered.
TEST(forward_control, a_cleared_crash_is_removed_from_the_store)
{
    start();
    crash_entry const entry{.print = fingerprint(5),
                            .upstream = upstream_id(6)};
    control.save_crash(entry);
    control.clear_crash(entry);
    UNSIGNED_LONGS_EQUAL(1, store.removed_crashes.size());
    CHECK(store.removed_crashes[0] == entry);
}

// Guards against a host that starts without the crashes that others have seen.
TEST(forward_control, publishes_the_crashes_of_the_store)
{
    start();
    auto const now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
    crash_entry const entry{
        .print = fingerprint(5), .upstream = upstream_id(6), .seen_ms = now_ms};
    crash_entry const expired{.print = fingerprint(5),
                              .upstream = upstream_id(7),
                              .seen_ms = now_ms - 3'600'000};
    store.complete_list(store_kind::crashes,
                        store_page{.entries = {{.name = "x", .value = entry},
                                               {.name = "y", .value = expired}},
                                   .revision = 10});
    UNSIGNED_LONGS_EQUAL(1, last_snapshot->crashes.size());
    CHECK(last_snapshot->crashes[0] == entry);
}
