#include "core/forward/store_freshness.hpp"
#include "core/forward/store_mirror.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(from_ms(100'000 + ms));
}

store_floor floor_of_all(std::uint64_t revision, duration age)
{
    store_floor out{.revision = revision, .age = age};
    out.floors.fill(revision);
    return out;
}

} // namespace

TEST_GROUP(store_freshness)
{
    store_freshness it{{.bound = from_ms(3000)}};

    void setup() override
    {
        it.set_place(0);
        it.on_read(10, at(0), at(0));
    }
};

// Guards against a reader that dies right after a change: the next host has to
// read, pass the floor on, and a host that is behind has to read in its turn.
TEST(store_freshness, reads_takeover_and_catching_up_leave_time_in_the_bound)
{
    it.set_place(1);
    auto const read = it.next_read() - at(0);
    it.on_floor(floor_of_all(20, from_ms(0)), at(0) + read);
    auto const kind_at = it.read_kind_at(store_kind::manifests);
    CHECK(kind_at.has_value());
    CHECK(*kind_at - at(0) <= from_ms(2250));
}

TEST(store_freshness, the_first_host_reads_before_the_others)
{
    auto const first = it.next_read();
    it.set_place(0.1);
    CHECK(it.next_read() > first);
}

// Guards against hosts that read the store although another one has.
TEST(store_freshness, a_floor_of_another_host_delays_the_read)
{
    auto const before = it.next_read();
    CHECK(it.on_floor(floor_of_all(10, from_ms(100)), at(800)));
    CHECK(it.next_read() - before == from_ms(700));
    // The same floor by another way.
    CHECK_FALSE(it.on_floor(floor_of_all(10, from_ms(150)), at(850)));
}

// Guards against reads without pause while the store does not answer.
TEST(store_freshness, a_read_that_fails_is_made_again_after_an_interval)
{
    auto const due = it.next_read();
    it.read_started(due);
    CHECK(it.next_read() - due == from_ms(1000));
}

// Guards against calls for kinds whose watch delivers a moment later.
TEST(store_freshness, a_copy_that_reaches_the_floor_is_not_read)
{
    it.on_floor(floor_of_all(20, from_ms(0)), at(800));
    CHECK(it.read_kind_at(store_kind::upstreams) > at(800));
    it.on_copy(store_kind::upstreams, 20, at(820));
    CHECK_FALSE(it.read_kind_at(store_kind::upstreams).has_value());
    CHECK(it.read_kind_at(store_kind::manifests).has_value());
}

// Guards against a call per host whenever another kind has changed.
TEST(store_freshness, a_kind_without_changes_keeps_its_floor)
{
    it.on_kind_read(store_kind::crashes, 10, 10, at(0), at(1));
    it.on_kind_read(store_kind::crashes, 30, 10, at(1000), at(1001));
    UNSIGNED_LONGS_EQUAL(10, it.floor_of(store_kind::crashes));
    it.on_kind_read(store_kind::crashes, 40, 40, at(2000), at(2001));
    UNSIGNED_LONGS_EQUAL(40, it.floor_of(store_kind::crashes));
}

// A host of another fleet, or one that is wrong, sends a floor that the store
// has never had. Guards against reading a kind again and again.
TEST(store_freshness, a_current_read_corrects_a_wrong_floor)
{
    it.on_floor(floor_of_all(900, from_ms(0)), at(100));
    it.on_kind_read(store_kind::manifests, 20, 10, at(200), at(205));
    CHECK_FALSE(it.read_kind_at(store_kind::manifests).has_value());
    // One that was learnt while the read was under way may be right.
    it.on_floor(floor_of_all(950, from_ms(0)), at(302));
    it.on_kind_read(store_kind::manifests, 20, 10, at(300), at(305));
    CHECK(it.read_kind_at(store_kind::manifests).has_value());
}

TEST(store_freshness, tells_its_age)
{
    it.on_floor(floor_of_all(10, from_ms(100)), at(800));
    CHECK(it.age(at(900)) == from_ms(200));
    CHECK(it.floor(at(900)).age == from_ms(200));
}

// Guards against a floor of the store before the restore that makes a copy of
// the store after it seem behind, or a copy of before seem new enough.
TEST(store_freshness, floors_of_another_era_do_not_count)
{
    it.on_copy(store_kind::manifests, 40, at(0));
    it.enter_era(1);
    CHECK_FALSE(it.on_floor(floor_of_all(90, from_ms(0)), at(10)));
    CHECK_FALSE(it.read_kind_at(store_kind::manifests).has_value());
    UNSIGNED_LONGS_EQUAL(0, it.revision());
    auto own = floor_of_all(12, from_ms(0));
    own.era = 1;
    CHECK(it.on_floor(own, at(10)));
    // The copy at 40 was of the era before.
    CHECK(it.read_kind_at(store_kind::manifests).has_value());
    UNSIGNED_LONGS_EQUAL(1, it.floor(at(10)).era);
}

// Guards against taking a copy for current that lacks what a floor shows.
TEST(store_freshness, a_copy_is_up_to_date_when_it_has_reached_the_floor)
{
    auto const kind = store_kind::upstreams;
    it.on_copy(kind, 10, at(0));
    it.on_floor(floor_of_all(10, from_ms(0)), at(1000));
    CHECK(it.up_to_date_at(kind, at(1100)) == at(1000));
    it.on_floor(floor_of_all(20, from_ms(10)), at(2010));
    CHECK(it.up_to_date_at(kind, at(2100)) == at(1000));
    // An outdated answer that does not reach the floor.
    it.on_copy(kind, 15, at(2100));
    CHECK(it.up_to_date_at(kind, at(2200)) == at(1000));
    it.on_copy(kind, 20, at(2300));
    CHECK(it.up_to_date_at(kind, at(2400)) == at(2000));
    it.on_kind_read(kind, 20, 20, at(2500), at(2510));
    CHECK(it.up_to_date_at(kind, at(2600)) == at(2500));
}

// Guards against counting from before an outage, in which the store may have
// lost the entries of running upstreams.
TEST(store_freshness, nothing_is_known_to_be_up_to_date_in_a_disturbance)
{
    auto const kind = store_kind::upstreams;
    it.on_copy(kind, 10, at(0));
    CHECK(it.up_to_date_at(kind, at(500)).has_value());
    it.on_failure(at(600));
    CHECK_FALSE(it.up_to_date_at(kind, at(700)).has_value());
    CHECK_FALSE(it.up_to_date_at(kind, at(2500)).has_value());
    CHECK(it.up_to_date_at(kind, at(2600)).has_value());
    // A read that does not return is no better than one that fails.
    it.read_started(at(3000));
    CHECK(it.up_to_date_at(kind, at(3700)).has_value());
    CHECK_FALSE(it.up_to_date_at(kind, at(3800)).has_value());
    it.read_ended(at(4000));
    CHECK_FALSE(it.up_to_date_at(kind, at(5900)).has_value());
    CHECK(it.up_to_date_at(kind, at(6000)).has_value());
    // A read in time does not prolong it.
    it.read_started(at(6100));
    it.read_ended(at(6110));
    CHECK(it.up_to_date_at(kind, at(6110)).has_value());
}

// Each part of the time for which a removed upstream is used has its largest
// value: the removal follows a read at once, the reader ends, the last host
// takes over, and the watch does not show the removal.
TEST(store_freshness, all_parts_of_the_use_of_a_removed_upstream_fit_the_bound)
{
    auto const kind = store_kind::upstreams;
    store_mirror mirror{{}};
    store_entry const entry{.name = "a",
                            .value = upstream_record{.instance = "a"}};
    mirror.on_page({.entries = {entry}, .revision = 10}, at(0));
    it.on_copy(kind, mirror.revision(), at(0));
    it.set_place(1);
    auto const read = it.next_read();
    it.on_floor(floor_of_all(20, from_ms(0)), read);
    auto const known = it.read_kind_at(kind).value();
    mirror.on_events(
        {.events = {{.entry = entry, .deleted = true}}, .revision = 20}, known,
        it.up_to_date_at(kind, known));
    auto const end = mirror.next_expiry().value_or(known);
    CHECK(end - at(0) <= from_ms(2250));
}
