#include "forward_control_fixture.hpp"

using namespace snipemill;
using namespace snipemill::test;

namespace {

std::int64_t wall_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

store_entry own_entry()
{
    return {.name = "h1", .value = host_entry{wall_ms(), {.name = "h1"}}};
}

struct era_fixture : forward_control_fixture
{
    crash_entry const crash{.print = fingerprint{5},
                            .upstream = upstream_id{6},
                            .seen_ms = wall_ms()};

    store_entry entry_of(crash_entry const& it) const
    {
        return {.name = "c", .value = it};
    }
    void start_all()
    {
        start();
        store.on_put(true);
        store.complete_list(
            store_kind::hosts,
            store_page{.entries = {own_entry()}, .revision = 10});
        store.complete_list(store_kind::crashes, store_page{.revision = 10});
    }
    // The watch of the manifests answers in era 1, at the revision that the
    // host has.
    void restore()
    {
        store.complete_watch(store_kind::manifests,
                             store_events{.revision = 10, .era = 1});
    }
    void list(store_kind kind, std::vector<store_entry> entries,
              std::uint64_t revision = 10)
    {
        store.complete_list(kind, store_page{.entries = std::move(entries),
                                             .revision = revision,
                                             .era = 1});
    }
};

} // namespace

TEST_GROUP_BASE(forward_control_era, era_fixture){};

// The store has issued the host's revision again, so no watch fails. Guards
// against a host that keeps what the store has lost and never learns of what
// was written instead.
TEST(forward_control_era, an_answer_of_a_newer_era_lists_every_kind_again)
{
    start_all();
    store.list_counts.clear();
    restore();
    for (auto const& [kind, name] : store_kind_names) {
        // The settings have no rollouts, so nothing asks for their kind.
        bool const followed = kind != store_kind::rollouts;
        LONGS_EQUAL(followed ? 1 : 0, store.list_counts[kind]);
        CHECK(!followed || store.list_ages[kind] == read_age::current);
    }
    list(store_kind::evacuations,
         {{.name = "dc", .value = evacuation_entry{}}});
    CHECK(last_snapshot->evacuated.contains("dc"));
}

// Guards against a change that operators do not see.
TEST(forward_control_era, metrics_show_the_era)
{
    start_all();
    restore();
    forward_metrics metrics;
    control.report(metrics);
    CHECK(metrics.text().find("store_era 1") != std::string::npos);
    CHECK(metrics.text().find("store_era_changes_total 1") !=
          std::string::npos);
}

// Guards against a late answer to a call of the older era, and against an
// answer of a lagging copy, that change what the host has.
TEST(forward_control_era, answers_of_an_older_era_are_dropped)
{
    start_all();
    auto const late = store.on_watch[store_kind::evacuations];
    restore();
    store_events const evacuated{
        .events = {{.entry = {.name = "dc", .value = evacuation_entry{}}}},
        .revision = 90};
    late(evacuated);
    CHECK_FALSE(last_snapshot->evacuated.contains("dc"));
    list(store_kind::evacuations, {});
    auto const watches = store.watch_counts[store_kind::evacuations];
    store.complete_watch(store_kind::evacuations, evacuated);
    CHECK_FALSE(last_snapshot->evacuated.contains("dc"));
    // It is not repeated without a pause.
    LONGS_EQUAL(watches, store.watch_counts[store_kind::evacuations]);
    CHECK(wait_watch(store_kind::evacuations, watches + 1));
}

// Guards against a manifest that goes back on a host.
TEST(forward_control_era, the_manifest_stays_when_the_store_goes_back)
{
    start_all();
    restore();
    list(store_kind::manifests, {manifest_entry(3)});
    UNSIGNED_LONGS_EQUAL(5, last_snapshot->current->state->version);
    store.complete_watch(store_kind::manifests,
                         store_events{.events = {{.entry = manifest_entry(6)}},
                                      .revision = 11,
                                      .era = 1});
    UNSIGNED_LONGS_EQUAL(6, last_snapshot->current->state->version);
}

// Guards against a host that the fleet does not count until its next renewal,
// and against one that writes the entry of another host, which may have ended.
TEST(forward_control_era, only_the_own_entry_is_written_again)
{
    start();
    store.on_put(true);
    store.complete_list(
        store_kind::hosts,
        store_page{
            .entries = {own_entry(),
                        {.name = "h2",
                         .value = host_entry{wall_ms(), {.name = "h2"}}}},
            .revision = 10});
    restore();
    UNSIGNED_LONGS_EQUAL(1, store.put_hosts.size());
    list(store_kind::hosts, {});
    UNSIGNED_LONGS_EQUAL(2, store.put_hosts.size());
    STRCMP_EQUAL("h1", store.put_hosts.back().c_str());
    // Both count until the other host has written its own.
    UNSIGNED_LONGS_EQUAL(2, last_snapshot->hosts.size());
}

// Guards against a call for each host of a fleet when nothing is lost.
TEST(forward_control_era, an_entry_that_the_copy_has_is_not_written)
{
    start_all();
    restore();
    list(store_kind::hosts, {own_entry()});
    UNSIGNED_LONGS_EQUAL(1, store.put_hosts.size());
}

// Guards against an entry that was written and lost before any listing showed
// it.
TEST(forward_control_era, an_entry_that_was_never_listed_is_written_again)
{
    start();
    store.on_put(true);
    store.complete_list(store_kind::hosts, store_page{.revision = 10});
    restore();
    list(store_kind::hosts, {});
    UNSIGNED_LONGS_EQUAL(2, store.put_hosts.size());
}

// Guards against a write that the store has confirmed and lost, whose answer
// arrives after the host has learnt of the new era.
TEST(forward_control_era, a_write_answered_after_the_change_is_made_again)
{
    start();
    store.complete_list(store_kind::hosts, store_page{.revision = 10});
    restore();
    store.on_put(true);
    CHECK(run_until(io, [&] { return store.put_hosts.size() == 2; }));
}

// Guards against a crashing request that is let through again because the
// store has lost the entries.
TEST(forward_control_era, own_crash_entries_are_written_again)
{
    start_all();
    control.save_crash(crash);
    store.on_crash_change(true);
    UNSIGNED_LONGS_EQUAL(1, store.put_crashes.size());
    store.complete_watch(
        store_kind::crashes,
        store_events{.events = {{.entry = entry_of(crash)}}, .revision = 11});
    restore();
    list(store_kind::crashes, {});
    UNSIGNED_LONGS_EQUAL(2, store.put_crashes.size());
    CHECK(store.put_crashes.back().same_crash(crash));
}

// Guards against an entry that the operator or another host has removed and
// that comes back.
TEST(forward_control_era, a_crash_entry_that_was_removed_stays_so)
{
    start_all();
    control.save_crash(crash);
    store.on_crash_change(true);
    store.complete_watch(
        store_kind::crashes,
        store_events{.events = {{.entry = entry_of(crash)}}, .revision = 11});
    CHECK(wait_watch(store_kind::crashes, 2));
    store.complete_watch(
        store_kind::crashes,
        store_events{.events = {{.entry = entry_of(crash), .deleted = true}},
                     .revision = 12});
    restore();
    list(store_kind::crashes, {});
    UNSIGNED_LONGS_EQUAL(1, store.put_crashes.size());
}

// Guards against entries of other hosts that this host writes.
TEST(forward_control_era, crash_entries_of_others_are_not_written)
{
    start();
    store.complete_list(
        store_kind::crashes,
        store_page{.entries = {entry_of(crash)}, .revision = 10});
    restore();
    list(store_kind::crashes, {});
    UNSIGNED_LONGS_EQUAL(0, store.put_crashes.size());
}

// Guards against a request that is refused again because the restored store
// has entries that this host has removed.
TEST(forward_control_era, own_removals_are_made_again)
{
    start_all();
    control.clear_crash(crash);
    store.on_crash_change(true);
    store.complete_watch(store_kind::crashes, store_events{.revision = 11});
    restore();
    list(store_kind::crashes, {entry_of(crash)});
    UNSIGNED_LONGS_EQUAL(2, store.removed_crashes.size());
}

// Guards against a false datagram that sets the era, after which every answer
// would be dropped, and against a floor whose host does not look itself.
TEST(forward_control_era, a_floor_of_a_newer_era_makes_the_host_list)
{
    start_all();
    floor_message const message{.floor = {.era = 1, .revision = 3}};
    control.on_floor(message);
    control.on_floor(message);
    LONGS_EQUAL(2, store.list_counts[store_kind::manifests]);
    LONGS_EQUAL(1, store.list_counts[store_kind::upstreams]);
    // The page is the listing of the new era, and the other kinds follow.
    list(store_kind::manifests, {manifest_entry(5)}, 3);
    LONGS_EQUAL(2, store.list_counts[store_kind::manifests]);
    LONGS_EQUAL(2, store.list_counts[store_kind::upstreams]);
    LONGS_EQUAL(2, store.list_counts[store_kind::hosts]);
}

// Guards against a host that takes the era from a datagram.
TEST(forward_control_era, a_false_floor_costs_one_listing)
{
    start_all();
    control.on_floor({.floor = {.era = 99, .revision = 3}});
    store.complete_list(
        store_kind::manifests,
        store_page{.entries = {manifest_entry(6)}, .revision = 11});
    UNSIGNED_LONGS_EQUAL(6, last_snapshot->current->state->version);
    LONGS_EQUAL(1, store.list_counts[store_kind::upstreams]);
}

// Guards against floors of the store before the restore, by which the copies
// of the one after seem to be behind, and which hosts read for.
TEST(forward_control_era, a_floor_of_an_older_era_is_ignored)
{
    start_all();
    restore();
    list(store_kind::manifests, {manifest_entry(5)});
    floor_message message{.floor = {.revision = 50}};
    message.floor.floors.fill(50);
    control.on_floor(message);
    auto const end =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(700);
    run_until(io, [&] { return std::chrono::steady_clock::now() > end; });
    CHECK(store.reads.empty());
}

// The read at an interval is the first to show the new era. Guards against
// its events being applied to the copy of the older one.
TEST(forward_control_era, a_read_of_a_newer_era_lists_every_kind_again)
{
    start_all();
    CHECK(wait_read());
    store.list_counts.clear();
    store.complete_read(store_events{
        .events = {{.entry = manifest_entry(9)}}, .revision = 14, .era = 1});
    UNSIGNED_LONGS_EQUAL(5, last_snapshot->current->state->version);
    LONGS_EQUAL(1, store.list_counts[store_kind::manifests]);
    LONGS_EQUAL(1, store.list_counts[store_kind::crashes]);
    CHECK(store.reads.empty());
}
