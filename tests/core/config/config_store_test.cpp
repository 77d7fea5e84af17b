#include "core/config/fixtures.hpp"

#include <CppUTest/TestHarness.h>

#include <limits>

using namespace snipemill;
using namespace snipemill::test;

TEST_GROUP(config_store){};

// Guards against a host that goes back to an older configuration.
TEST(config_store, never_adopts_a_lower_number)
{
    config_store store;
    CHECK(store.adopt(snapshot_of(5)));
    CHECK(!store.adopt(snapshot_of(4)));
    CHECK(!store.adopt(std::vector{next_ticket(5, "other")}));
    LONGS_EQUAL(5, store.number());
    CHECK(store.state() == snapshot_of(5));
}

// Guards against a configuration with a ticket missing in the middle.
TEST(config_store, tickets_after_a_gap_are_not_adopted)
{
    config_store store;
    store.adopt(snapshot_of(2));
    CHECK(store.adopt(std::vector{next_ticket(3, "n3"), next_ticket(5, "n5")}));
    LONGS_EQUAL(3, store.number());
}

// Guards against hosts whose configuration depends on how they received it.
TEST(config_store, every_way_of_catching_up_gives_the_same_state)
{
    config_store source;
    source.adopt(std::vector{first_ticket()});
    for (std::uint64_t n = 2; n <= 60; ++n) {
        source.adopt(std::vector{next_ticket(n, "n" + std::to_string(n))});
    }
    for (std::uint64_t have = 0; have <= 60; ++have) {
        config_store behind;
        if (have > 0) {
            behind.adopt(snapshot_of(have));
        }
        auto const push = source.since(have);
        // Tickets for those slightly behind, and a bounded number of them.
        CHECK(std::holds_alternative<config_snapshot>(push) ==
              (have < 60 - max_head_tickets));
        behind.adopt(push);
        CHECK(behind.state() == source.state());
    }
    auto const ahead = source.since(std::numeric_limits<std::uint64_t>::max());
    CHECK(std::get<std::vector<ticket>>(ahead).empty());
}

// Guards against a state object that grows with every ticket.
TEST(config_store, history_is_bounded)
{
    auto const state = snapshot_of(max_history + 10);
    LONGS_EQUAL(max_history, state.history.size());
    LONGS_EQUAL(max_history + 10, state.history.back().number);
}

TEST_GROUP(check_ticket)
{
    config_snapshot state;
    ticket change = first_ticket();

    bool has_fault(std::string const& object, std::string const& part) const
    {
        for (auto const& it : check_ticket(state, change)) {
            if (it.object == object &&
                it.reason.find(part) != std::string::npos) {
                return true;
            }
        }
        return false;
    }
    void follow()
    {
        apply_ticket(state, first_ticket());
        change = next_ticket(2, "n2");
    }
};

// Guards against a check that refuses good tickets.
TEST(check_ticket, good_tickets_have_no_fault)
{
    CHECK(check_ticket(state, change).empty());
    follow();
    CHECK(check_ticket(state, change).empty());
    change.objects = {removed_object{"upstream/u1"},
                      removed_object{"service/s"}};
    CHECK(check_ticket(state, change).empty());
}

// Guards against operators who correct one fault per attempt.
TEST(check_ticket, all_faults_are_reported_together)
{
    change = {.number = 7,
              .objects = {service_object{.name = "s", .group = "x", .slots = 0},
                          upstream_object{.name = "u",
                                          .service = "y",
                                          .data_centre = "z",
                                          .address = "host:80"},
                          removed_object{"group/none"}}};
    CHECK(has_fault("", "does not follow 0"));
    CHECK(has_fault("", "author"));
    CHECK(has_fault("", "reason"));
    CHECK(has_fault("service/s", "group/x does not exist"));
    CHECK(has_fault("service/s", "slots"));
    CHECK(has_fault("upstream/u", "service/y does not exist"));
    CHECK(has_fault("upstream/u", "data_centre/z does not exist"));
    CHECK(has_fault("upstream/u", "address"));
    CHECK(has_fault("group/none", "does not exist"));
    LONGS_EQUAL(9, check_ticket(state, change).size());
}

// Guards against an answer that is credited to the wrong upstream.
TEST(check_ticket, upstream_ids_are_unique)
{
    follow();
    change.objects = {upstream_object{.id = upstream_id(1),
                                      .name = "u2",
                                      .service = "s",
                                      .data_centre = "a",
                                      .address = "[::1]:80"}};
    CHECK(has_fault("upstream/u2", "id 1 is also that of upstream/u1"));
}

// Guards against objects that the topology silently leaves out.
TEST(check_ticket, objects_in_use_are_not_removed)
{
    follow();
    for (std::string const key : {"group/g", "service/s", "data_centre/a"}) {
        change.objects = {removed_object{key}};
        CHECK(has_fault(key, "still refers to it"));
    }
}

// Guards against data centres that have only IPv6.
TEST(check_ticket, upstreams_may_have_ipv6_addresses)
{
    for (std::string const address :
         {"[::1]:80", "[2001:db8::7]:7200", "[::ffff:10.0.0.1]:1"}) {
        change = first_ticket();
        std::get<upstream_object>(change.objects[3]).address = address;
        CHECK(check_ticket(state, change).empty());
    }
}

// Guards against settings with which every query fails.
TEST(check_ticket, values_out_of_range_are_faults)
{
    group_object const good{.name = "g"};
    auto const nan = std::numeric_limits<double>::quiet_NaN();
    std::vector<group_object> bad(6, good);
    bad[0].deadline = {};
    bad[1].deadline = from_ms(60'001);
    bad[2].min_coverage = 1.01;
    bad[3].hedge_quantile = nan;
    bad[4].hedge_budget = -0.1;
    bad[5].name = "a/b";
    for (auto const& it : bad) {
        change.objects = {it};
        LONGS_EQUAL(1, check_ticket(state, change).size());
    }
    for (std::string const address :
         {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
          "10.0.0:80", "10.0.0.1:8x", "::1:80", "[::1:80", "[]:80",
          "[10.0.0.1]:80", "[::1]", "[::1]:0"}) {
        change = first_ticket();
        std::get<upstream_object>(change.objects[3]).address = address;
        CHECK(has_fault("upstream/u1", "is not ip:port"));
    }
}
