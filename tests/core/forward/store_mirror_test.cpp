#include "core/forward/store_mirror.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

TEST_GROUP(store_mirror)
{
    time_point now{from_ms(50'000)};
    store_mirror mirror{{}};

    static store_entry entry(std::string const& name, bool draining = false)
    {
        return {.name = name,
                .value =
                    upstream_record{.instance = name, .draining = draining}};
    }
    static store_page page(std::vector<store_entry> entries,
                           std::uint64_t revision, bool truncated = false)
    {
        return {.entries = std::move(entries),
                .truncated = truncated,
                .revision = revision};
    }
    static store_events deleted(std::string const& name, std::uint64_t revision)
    {
        return {.events = {{.entry = entry(name), .deleted = true}},
                .revision = revision};
    }
    std::string names()
    {
        mirror.expire(now);
        std::string out;
        mirror.for_each(
            [&](std::string const& name, store_value const&) { out += name; });
        return out;
    }
};

// Guards against changes that are lost between the pages of a listing.
TEST(store_mirror, watches_from_the_first_page)
{
    mirror.on_page(page({entry("a")}, 10, true), now);
    CHECK(std::get<list_action>(mirror.next_action()).after == "a");
    CHECK_FALSE(mirror.ready());
    mirror.on_page(page({entry("b")}, 12), now);
    CHECK(mirror.ready());
    UNSIGNED_LONGS_EQUAL(10,
                         std::get<watch_action>(mirror.next_action()).revision);
    STRCMP_EQUAL("ab", names().c_str());
}

// Guards against changes that are lost when a page comes from an older copy of
// the store than the one before.
TEST(store_mirror, watches_from_the_oldest_page)
{
    mirror.on_page(page({entry("a")}, 10, true), now);
    mirror.on_page(page({entry("b")}, 7), now);
    UNSIGNED_LONGS_EQUAL(7,
                         std::get<watch_action>(mirror.next_action()).revision);
}

// Guards against dropping upstreams whose entries expired during an outage of
// the store, and against using an upstream whose entry does not return.
TEST(store_mirror, a_vanished_entry_is_used_for_a_time)
{
    mirror.on_page(page({entry("a"), entry("b")}, 10), now);
    mirror.on_events(deleted("a", 11), now);
    mirror.on_events(deleted("b", 12), now);
    now += from_ms(1900);
    STRCMP_EQUAL("ab", names().c_str());
    mirror.on_events({.events = {{.entry = entry("b")}}, .revision = 13}, now);
    now += from_ms(200);
    STRCMP_EQUAL("b", names().c_str());
}

// Guards against new requests to an upstream that is draining.
TEST(store_mirror, a_leaving_entry_is_dropped_at_once)
{
    mirror.on_page(page({entry("a", true)}, 10), now);
    mirror.on_events(deleted("a", 11), now);
    STRCMP_EQUAL("", names().c_str());
}

// Guards against using an upstream for more than 3 s after it may have stopped,
// when it stopped while the history was lost.
TEST(store_mirror, lost_history_counts_the_hold_from_the_last_current_copy)
{
    mirror.on_page(page({entry("a"), entry("b")}, 10), now);
    auto const last_confirmed = now;
    now += from_ms(2000);
    mirror.on_error(store_error::history_gone, 1);
    CHECK(std::holds_alternative<list_action>(mirror.next_action()));
    mirror.on_page(page({entry("b")}, 20), now, last_confirmed);
    now = last_confirmed + from_ms(2300);
    STRCMP_EQUAL("b", names().c_str());
}

// The store shows a removal late. Guards against a hold that begins when the
// host learns of it, after most of the bound has passed.
TEST(store_mirror, a_removal_that_is_shown_late_is_held_for_the_rest_only)
{
    mirror.on_page(page({entry("a"), entry("b"), entry("c")}, 10), now);
    auto const up_to_date_at = now;
    now += from_ms(1500);
    mirror.on_events(deleted("a", 11), now, up_to_date_at);
    STRCMP_EQUAL("abc", names().c_str());
    now = up_to_date_at + from_ms(2250);
    STRCMP_EQUAL("bc", names().c_str());
    // Nothing is left of the time.
    mirror.on_events(deleted("b", 12), now, up_to_date_at);
    STRCMP_EQUAL("c", names().c_str());
    CHECK_FALSE(mirror.next_expiry().has_value());
}

// Guards against dropping running upstreams whose entries the store has lost in
// an outage, when the copy was up to date long before.
TEST(store_mirror, a_removal_after_an_outage_is_held_whole)
{
    mirror.on_page(page({entry("a"), entry("b")}, 10), now);
    auto const up_to_date_at = now;
    now += from_ms(5000);
    mirror.on_error(store_error::unavailable, 1);
    mirror.on_error(store_error::unavailable, 2);
    mirror.on_events(deleted("a", 11), now, up_to_date_at);
    // The time at which the copy was up to date is not known after failed
    // reads.
    mirror.on_events(deleted("b", 12), now, std::nullopt);
    now += from_ms(1900);
    STRCMP_EQUAL("ab", names().c_str());
    now += from_ms(200);
    STRCMP_EQUAL("", names().c_str());
}

// Guards against counting the hold time from the last answer also after an
// outage, in which every entry may have expired.
TEST(store_mirror, an_outage_counts_the_hold_from_its_end)
{
    mirror.on_page(page({entry("a")}, 10), now);
    now += from_ms(20'000);
    mirror.on_error(store_error::unavailable, 1);
    mirror.on_error(store_error::unavailable, 2);
    mirror.on_error(store_error::history_gone, 1);
    mirror.on_page(page({}, 20), now);
    now += from_ms(1900);
    STRCMP_EQUAL("a", names().c_str());
    now += from_ms(200);
    STRCMP_EQUAL("", names().c_str());
}

// Guards against a listing that resumes in the middle after a failed page.
TEST(store_mirror, a_failed_listing_begins_again)
{
    mirror.on_page(page({entry("a")}, 10, true), now);
    mirror.on_error(store_error::unavailable, 1);
    STRCMP_EQUAL("", std::get<list_action>(mirror.next_action()).after.c_str());
    mirror.on_page(page({entry("b")}, 12), now);
    now += from_ms(3000);
    STRCMP_EQUAL("b", names().c_str());
}

// A host restarts while a copy of the store is behind. Guards against upstreams
// in use that had left before the restart.
TEST(store_mirror, an_outdated_first_listing_is_read_again)
{
    mirror.require_revision(20);
    CHECK(std::get<list_action>(mirror.next_action()).age ==
          read_age::may_be_old);
    mirror.on_page(page({entry("a"), entry("b")}, 15), now);
    CHECK_FALSE(mirror.ready());
    CHECK(std::get<list_action>(mirror.next_action()).age == read_age::current);
    mirror.on_page(page({entry("b")}, 21), now);
    CHECK(mirror.ready());
    STRCMP_EQUAL("b", names().c_str());
}

// Guards against an expensive listing where the copy is recent.
TEST(store_mirror, a_recent_first_listing_is_used)
{
    mirror.require_revision(20);
    mirror.on_page(page({entry("a")}, 20), now);
    CHECK(mirror.ready());
    CHECK(std::holds_alternative<watch_action>(mirror.next_action()));
}

// Guards against a host that does not serve because the store answers nothing
// but outdated listings.
TEST(store_mirror, an_outdated_listing_is_used_while_the_store_fails)
{
    mirror.require_revision(20);
    mirror.on_page(page({entry("a")}, 15), now);
    mirror.on_error(store_error::unavailable, 1);
    CHECK(mirror.ready());
    CHECK(std::get<list_action>(mirror.next_action()).age == read_age::current);
    STRCMP_EQUAL("a", names().c_str());
}

// A watch that accepts outdated data answers after a current read. Guards
// against a copy that goes back to the older state.
TEST(store_mirror, ignores_events_that_end_before_its_revision)
{
    mirror.on_page(page({entry("a")}, 10), now);
    mirror.on_events({.events = {{.entry = entry("b")}}, .revision = 20}, now);
    mirror.on_events({.events = {{.entry = entry("a", true)},
                                 {.entry = entry("c"), .deleted = false}},
                      .revision = 15},
                     now);
    STRCMP_EQUAL("ab", names().c_str());
    UNSIGNED_LONGS_EQUAL(20, mirror.revision());
    UNSIGNED_LONGS_EQUAL(20, mirror.changed_revision());
    mirror.on_events({.revision = 25}, now);
    UNSIGNED_LONGS_EQUAL(25, mirror.revision());
    UNSIGNED_LONGS_EQUAL(20, mirror.changed_revision());
}

namespace {

store_page in_era(std::uint64_t era, store_page page)
{
    page.era = era;
    return page;
}

} // namespace

// The store has passed the revision of the copy again, so a watch from it would
// show nothing. Guards against an upstream that is registered at a revision
// which was issued twice, and that no host learns of.
TEST(store_mirror, lists_again_from_the_first_page_in_a_new_era)
{
    mirror.on_page(page({entry("a"), entry("b")}, 11), now);
    CHECK(mirror.enter_era(1));
    auto const next = std::get<list_action>(mirror.next_action());
    CHECK(next.after.empty());
    CHECK(next.age == read_age::current);
    mirror.on_page(in_era(1, page({entry("a"), entry("c")}, 11)), now);
    STRCMP_EQUAL("abc", names().c_str());
    UNSIGNED_LONGS_EQUAL(11, mirror.revision());
    // Upstreams that the restored copy lacks write themselves again in 2 s.
    now += from_ms(1900);
    STRCMP_EQUAL("abc", names().c_str());
    now += from_ms(200);
    STRCMP_EQUAL("ac", names().c_str());
}

// Guards against a copy that keeps its high revision and ignores the lower ones
// that the restored store issues.
TEST(store_mirror, revisions_begin_anew_in_a_new_era)
{
    mirror.on_page(page({entry("a")}, 40), now);
    mirror.enter_era(1);
    mirror.on_page(in_era(1, page({entry("a")}, 12)), now);
    UNSIGNED_LONGS_EQUAL(12, mirror.revision());
    UNSIGNED_LONGS_EQUAL(12, mirror.changed_revision());
    mirror.on_events(
        {.events = {{.entry = entry("d")}}, .revision = 13, .era = 1}, now);
    STRCMP_EQUAL("ad", names().c_str());
}

// Guards against late answers of the older era that change the copy.
TEST(store_mirror, ignores_events_of_another_era)
{
    mirror.on_page(page({entry("a")}, 10), now);
    mirror.enter_era(1);
    mirror.on_page(in_era(1, page({entry("a")}, 10)), now);
    mirror.on_events({.events = {{.entry = entry("b")}}, .revision = 50}, now);
    STRCMP_EQUAL("a", names().c_str());
    UNSIGNED_LONGS_EQUAL(10, mirror.revision());
}

// Guards against a listing that is made up of the store before and after.
TEST(store_mirror, pages_of_two_eras_are_listed_again)
{
    mirror.on_page(page({entry("a")}, 10, true), now);
    mirror.on_page(in_era(1, page({entry("c")}, 10)), now);
    CHECK_FALSE(mirror.ready());
    CHECK(std::get<list_action>(mirror.next_action()).after.empty());
    // The same when the host learns of the era between the two pages.
    mirror.on_page(page({entry("a")}, 10, true), now);
    CHECK(mirror.enter_era(1));
    CHECK(std::get<list_action>(mirror.next_action()).after.empty());
    mirror.on_page(in_era(1, page({entry("a")}, 10, true)), now);
    CHECK_FALSE(mirror.listed());
    mirror.on_page(in_era(1, page({entry("c")}, 10)), now);
    CHECK(mirror.listed());
}

// A watch gets 410, and the listing that follows shows the new era. Guards
// against hosts that list each kind twice.
TEST(store_mirror, a_current_listing_that_awaits_its_first_page_goes_on)
{
    mirror.on_page(page({entry("a")}, 10), now);
    mirror.on_error(store_error::history_gone, 1);
    CHECK_FALSE(mirror.enter_era(1));
    mirror.on_page(in_era(1, page({entry("a")}, 5)), now);
    CHECK(mirror.listed());
}

// Guards against a lagging copy that answers a listing again and again.
TEST(store_mirror, a_listing_of_an_older_era_is_followed_by_a_current_one)
{
    mirror.start_in_era(1);
    mirror.on_error(store_error::older_era, 1);
    CHECK(std::get<list_action>(mirror.next_action()).age == read_age::current);
}

// Guards against requests into an evacuated data centre in the moment until the
// operator has written the evacuation again.
TEST(store_mirror, holds_a_missing_evacuation_in_a_new_era)
{
    store_entry const evacuation{.name = "dc", .value = evacuation_entry{}};
    mirror.on_page(page({evacuation}, 10), now);
    mirror.enter_era(1);
    mirror.on_page(in_era(1, page({}, 9)), now);
    STRCMP_EQUAL("dc", names().c_str());
    int present = 0;
    mirror.for_each_present([&](auto const&, auto const&) { ++present; });
    LONGS_EQUAL(0, present);
    now += from_ms(2100);
    STRCMP_EQUAL("", names().c_str());
    // In the same era it ends at once.
    mirror.on_events(
        {.events = {{.entry = evacuation}}, .revision = 10, .era = 1}, now);
    mirror.on_events({.events = {{.entry = evacuation, .deleted = true}},
                      .revision = 11,
                      .era = 1},
                     now);
    STRCMP_EQUAL("", names().c_str());
}

// A host that owns accounts grants for as long as the others are to keep it in
// their lists, and may be cut off. Guards against two owners of one account.
TEST(store_mirror, holds_a_host_entry_until_it_has_expired_in_a_new_era)
{
    auto const host = [](std::int64_t renewed_ms) {
        return store_entry{.name = "h",
                           .value = host_entry{.renewed_ms = renewed_ms}};
    };
    mirror.on_page(page({host(900)}, 10), now);
    mirror.enter_era(1);
    // The copy has the renewal before.
    mirror.on_page(in_era(1, page({host(300)}, 9)), now);
    mirror.for_each([&](auto const&, store_value const& it) {
        LONGS_EQUAL(900, std::get<host_entry>(it).renewed_ms);
    });
    mirror.enter_era(2);
    mirror.on_page(in_era(2, page({}, 8)), now);
    now += from_ms(179'000);
    STRCMP_EQUAL("h", names().c_str());
    now += from_ms(1'100);
    STRCMP_EQUAL("", names().c_str());
}
