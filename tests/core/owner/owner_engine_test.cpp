#include "owner_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

TEST_GROUP(owner_engine){};

// Guards against a batch whose parts do not add up to one merged answer.
TEST(owner_engine, answers_a_batch_with_one_sorted_final_part)
{
    owner_bench b;
    b.warm_up({});
    b.batch(1, batch_of({3, 1, 2}));
    auto const sent = b.all<dispatch_query>();
    LONGS_EQUAL(3, sent.size());
    for (auto const& it : sent) {
        auto const id = it.upstream.value;
        b.engine.on_sub_answer(
            b.now, it.handle,
            answer_of(id, "k" + std::to_string(id), 10.0 - id), b.out);
    }
    auto const parts = b.all<send_part>();
    LONGS_EQUAL(1, parts.size());
    CHECK(parts[0].part.final);
    LONGS_EQUAL(3, parts[0].part.results.size());
    LONGS_EQUAL(3, parts[0].part.records.size());
    CHECK(parts[0].part.records[0].key == "k3");
    CHECK(parts[0].part.records[2].key == "k1");
    LONGS_EQUAL(0, b.engine.in_flight());
}

// Guards against a straggler that delays the results of other targets.
TEST(owner_engine, sends_what_has_arrived_after_flush_and_the_rest_later)
{
    owner_bench b;
    b.warm_up({});
    b.batch(1, batch_of({1, 2, 3}));
    auto const sent = b.all<dispatch_query>();
    b.engine.on_sub_answer(b.now, sent[0].handle, answer_of(1, "a", 1), b.out);
    LONGS_EQUAL(0, b.all<send_part>().size());
    b.wait(from_ms(100));
    LONGS_EQUAL(1, b.all<send_part>().size());
    CHECK(!b.all<send_part>()[0].part.final);
    b.engine.on_sub_answer(b.now, sent[1].handle, answer_of(2, "b", 1), b.out);
    b.engine.on_sub_answer(b.now, sent[2].handle, answer_of(3, "c", 1), b.out);
    auto const parts = b.all<send_part>();
    LONGS_EQUAL(3, parts.size());
    CHECK(!parts[1].part.final);
    CHECK(parts[2].part.final);
    LONGS_EQUAL(1, parts[2].part.results.size());
}

// Guards against work for upstreams that another host or lane controls.
TEST(owner_engine, refuses_targets_of_other_owners_and_lanes)
{
    owner_bench b({}, 1, 2);
    b.view({});
    b.wait(from_ms(20));
    b.batch(1, batch_of({1, 2, 9}));
    CHECK(!b.outcome(1).has_value());
    b.answer_all();
    b.batch(2, batch_of({2, 9}));
    CHECK(b.outcome(2) == sub_outcome::not_owner);
    CHECK(b.outcome(9) == sub_outcome::not_owner);
}

// Guards against records of another version in an answer (R1).
TEST(owner_engine, does_not_merge_another_version)
{
    owner_bench b;
    b.warm_up({});
    b.batch(1, batch_of({1}));
    auto answer = answer_of(1, "a", 1);
    answer.version = index_version(8);
    b.engine.on_sub_answer(b.now, b.all<dispatch_query>()[0].handle, answer,
                           b.out);
    CHECK(b.outcome(1) == sub_outcome::wrong_version);
    CHECK(b.all<send_part>()[0].part.records.empty());
}

// Guards against records beyond the partitions that coverage counts (R2).
TEST(owner_engine, rejects_records_of_partitions_not_covered)
{
    owner_bench b;
    b.warm_up({});
    b.batch(1, batch_of({1}));
    auto answer = answer_of(1, "a", 1);
    answer.records[0].partition = partition_id(5);
    b.engine.on_sub_answer(b.now, b.all<dispatch_query>()[0].handle, answer,
                           b.out);
    CHECK(b.outcome(1) == sub_outcome::malformed);
}

// Guards against a started upstream that is sent more than one request (R3).
TEST(owner_engine, sends_a_cold_upstream_one_request_per_interval)
{
    owner_bench b;
    b.view({});
    b.wait(from_ms(20));
    b.batch(1, batch_of({1}));
    b.batch(2, batch_of({1}));
    LONGS_EQUAL(1, b.all<dispatch_query>().size());
    b.wait(from_ms(2));
    b.answer_all();
    b.wait(from_ms(17));
    LONGS_EQUAL(0, b.all<dispatch_query>().size());
    b.wait(from_ms(1));
    LONGS_EQUAL(1, b.all<dispatch_query>().size());
}

// Guards against a cold upstream that is lost and gained again and then sent
// two requests within one interval. A replay found this.
TEST(owner_engine, keeps_the_pace_of_a_cold_upstream_over_a_change_of_owner)
{
    owner_bench b;
    b.view({});
    b.wait(from_ms(20));
    b.batch(1, batch_of({1}));
    b.answer_all();
    b.view({.data_centre_in = true}, {"b"});
    b.view({});
    b.batch(2, batch_of({1}));
    LONGS_EQUAL(0, b.all<dispatch_query>().size());
    b.wait(from_ms(20));
    LONGS_EQUAL(1, b.all<dispatch_query>().size());
}

// Guards against hedges that add load where there is no room.
TEST(owner_engine, runs_hedges_only_on_a_warm_idle_upstream)
{
    owner_bench b;
    b.warm_up({});
    auto hedge = batch_of({1});
    hedge.hedge = true;
    b.batch(1, hedge);
    b.batch(2, batch_of({1}));
    LONGS_EQUAL(2, b.all<dispatch_query>().size());
    b.batch(3, hedge);
    CHECK(b.outcome(1) == sub_outcome::hedge_refused);

    owner_bench cold;
    cold.view({});
    cold.batch(1, hedge);
    CHECK(cold.outcome(1) == sub_outcome::hedge_refused);
}

// Guards against new work for an upstream that leaves (R8).
TEST(owner_engine, drains_a_leaving_upstream)
{
    owner_bench b;
    b.warm_up({});
    for (peer_handle i = 1; i <= 3; ++i) {
        b.batch(i, batch_of({1}));
    }
    auto const sent = b.all<dispatch_query>();
    LONGS_EQUAL(2, sent.size());
    b.view({.states = {{1, upstream_state::leaving}}});
    CHECK(b.outcome(1) == sub_outcome::draining);
    LONGS_EQUAL(1, b.all<send_part>().size());
    b.batch(4, batch_of({1}));
    LONGS_EQUAL(2, b.all<send_part>().size());
    b.engine.on_sub_answer(b.now, sent[0].handle, answer_of(1, "a", 1), b.out);
    LONGS_EQUAL(3, b.all<send_part>().size());
    CHECK(b.all<send_part>()[2].part.results[0].outcome == sub_outcome::merged);
    LONGS_EQUAL(2, b.all<dispatch_query>().size());
}

// Guards against the last chance of a waiting request: a view that makes an
// upstream leave must not first dispatch what a larger number of slots in the
// same view would allow. A replay found this.
TEST(owner_engine, view_that_takes_an_upstream_out_dispatches_nothing)
{
    owner_bench b;
    b.warm_up({});
    for (peer_handle i = 1; i <= 2; ++i) {
        b.batch(i, batch_of({1}));
    }
    b.fail(b.all<dispatch_query>()[0].handle, sub_outcome::reset);
    b.batch(3, batch_of({1}));
    b.fail(b.all<dispatch_query>()[1].handle, sub_outcome::cancelled);
    b.now += from_ms(30);
    b.view({.slots = 4, .states = {{1, upstream_state::leaving}}});
    LONGS_EQUAL(2, b.all<dispatch_query>().size());
    CHECK(b.all<send_part>().back().part.results[0].outcome ==
          sub_outcome::draining);
}

// Guards against a data centre that is taken out but gets new work (R4).
TEST(owner_engine, refuses_work_while_the_data_centre_is_out)
{
    owner_bench b;
    b.warm_up({});
    b.view({.data_centre_in = false});
    b.batch(1, batch_of({1}));
    CHECK(b.outcome(1) == sub_outcome::draining);
    CHECK(b.gauge(1).condition == upstream_condition::out);
    b.view({});
    CHECK(b.gauge(1).condition == upstream_condition::cold);
}

// Guards against a draining mark that a report from before it clears.
TEST(owner_engine, keeps_the_draining_mark_until_a_newer_status)
{
    owner_bench b;
    b.warm_up({});
    b.batch(1, batch_of({1}));
    b.wait(from_ms(1));
    b.fail(b.all<dispatch_query>()[0].handle, sub_outcome::draining);
    CHECK(b.outcome(1) == sub_outcome::draining);
    b.engine.on_status(b.now, upstream_id(1), {}, b.out);
    CHECK(b.gauge(1).condition == upstream_condition::leaving);
    b.wait(from_ms(1001));
    b.engine.on_status(b.now, upstream_id(1), {}, b.out);
    CHECK(b.gauge(1).condition == upstream_condition::cold);
}

// Guards against a draining mark of the server that has been replaced.
TEST(owner_engine, forgets_the_draining_mark_when_the_upstream_changes)
{
    owner_bench b;
    b.warm_up({});
    b.engine.on_status(b.now, upstream_id(1), {.draining = true}, b.out);
    CHECK(b.gauge(1).condition == upstream_condition::leaving);
    b.view({.addresses = {{1, "127.0.0.1:8001"}}});
    CHECK(b.gauge(1).condition == upstream_condition::cold);
}

// Guards against cancelled work that keeps queue places or loses slots.
TEST(owner_engine, cancels_waiting_and_running_targets)
{
    owner_bench b;
    b.warm_up({});
    for (peer_handle i = 1; i <= 3; ++i) {
        b.batch(i, batch_of({1}));
    }
    b.engine.on_cancel_targets(b.now, 3, {upstream_id(1)}, b.out);
    LONGS_EQUAL(0, b.gauge(1).queued);
    LONGS_EQUAL(0, b.all<cancel_dispatch>().size());
    b.engine.on_cancel_targets(b.now, 1, {upstream_id(1)}, b.out);
    LONGS_EQUAL(1, b.all<cancel_dispatch>().size());
    LONGS_EQUAL(2, b.all<send_part>().size());
    LONGS_EQUAL(2, b.gauge(1).in_flight);
    b.fail(b.all<cancel_dispatch>()[0].handle, sub_outcome::cancelled);
    LONGS_EQUAL(1, b.gauge(1).in_flight);
    LONGS_EQUAL(2, b.all<send_part>().size());
}

// Guards against work that goes on for a root that is gone.
TEST(owner_engine, cancels_everything_of_a_peer_that_is_gone)
{
    owner_bench b;
    b.warm_up({});
    b.batch(1, batch_of({1, 2}));
    b.engine.on_peer_gone(b.now, 1, b.out);
    auto const cancelled = b.all<cancel_dispatch>();
    LONGS_EQUAL(2, cancelled.size());
    for (auto const& it : cancelled) {
        b.fail(it.handle, sub_outcome::cancelled);
    }
    LONGS_EQUAL(0, b.all<send_part>().size());
    LONGS_EQUAL(0, b.engine.in_flight());
}

// Guards against a slot that is given away while its request still runs.
TEST(owner_engine, reports_timed_out_and_keeps_the_slot_until_the_report)
{
    owner_bench b;
    b.warm_up({});
    b.batch(1, batch_of({1}));
    b.batch(2, batch_of({1}));
    b.batch(3, batch_of({1}));
    b.wait(from_ms(500));
    LONGS_EQUAL(3, b.all<send_part>().size());
    CHECK(b.outcome(1) == sub_outcome::timed_out);
    LONGS_EQUAL(2, b.all<cancel_dispatch>().size());
    LONGS_EQUAL(2, b.gauge(1).in_flight);
    b.batch(4, batch_of({1}));
    LONGS_EQUAL(2, b.all<dispatch_query>().size());
    b.fail(b.all<dispatch_query>()[0].handle, sub_outcome::cancelled);
    LONGS_EQUAL(1, b.gauge(1).in_flight);
    b.fail(b.all<dispatch_query>()[1].handle, sub_outcome::cancelled);
    LONGS_EQUAL(3, b.all<dispatch_query>().size());
    LONGS_EQUAL(3, b.all<send_part>().size());
}

// Guards against crashes that are not reported, and orderly exits that are.
TEST(owner_engine, reports_a_crash_unless_the_upstream_announced_its_exit)
{
    owner_bench b;
    b.warm_up({});
    auto unknown = batch_of({1, 2});
    unknown.print = fingerprint(12); // not one that the upstreams answered
    b.batch(1, unknown);
    b.engine.on_status(b.now, upstream_id(2), {.draining = true}, b.out);
    for (auto const& it : b.all<dispatch_query>()) {
        b.fail(it.handle, sub_outcome::reset);
    }
    auto const crashes = b.all<report_crash>();
    LONGS_EQUAL(1, crashes.size());
    CHECK(crashes[0].upstream == upstream_id(1));
    CHECK(crashes[0].print == fingerprint(12));
    CHECK(b.gauge(1).condition == upstream_condition::cold);
}

// Guards against an owner that forgets a version which it knows only from a
// 410, so that hosts without knowledge find no version to choose.
TEST(owner_engine, describes_a_version_known_from_a_refusal)
{
    owner_bench b;
    b.view({});
    b.wait(from_ms(20));
    b.engine.on_status(b.now, upstream_id(1),
                       {.held = {{.version = index_version(7)}}}, b.out);
    b.batch(1, batch_of({1}));
    LONGS_EQUAL(1, b.all<dispatch_query>().size());
    b.engine.on_sub_failed(
        b.now, b.all<dispatch_query>()[0].handle,
        {.outcome = sub_outcome::version_gone, .held = {index_version(8)}},
        b.out);
    b.engine.on_describe(
        b.now, 1, {.id = request_id(5), .targets = {upstream_id(1)}}, b.out);
    auto const described = b.all<send_described>();
    LONGS_EQUAL(1, described.size());
    std::vector<held_version> const expected = {{.version = index_version(8)}};
    CHECK(described[0].answer.upstreams[0].held == expected);
}

// Guards against a query that crashes upstreams being sent again.
TEST(owner_engine, refuses_quarantined_fingerprints)
{
    owner_bench b;
    b.warm_up({});
    for (peer_handle i = 1; i <= 3; ++i) {
        b.batch(i, batch_of({1}));
    }
    b.engine.set_quarantine({fingerprint(11)});
    b.batch(4, batch_of({1}));
    CHECK(b.outcome(1) == sub_outcome::quarantined);
    b.fail(b.all<dispatch_query>()[0].handle, sub_outcome::version_gone);
    LONGS_EQUAL(3, b.all<send_part>().size());
    LONGS_EQUAL(2, b.all<dispatch_query>().size());
}

// Guards against a new owner that overloads what the old one still uses.
TEST(owner_engine, holds_the_limit_at_one_after_a_crash_of_the_owner)
{
    owner_bench b;
    b.view({});
    b.wait(from_ms(20));
    for (int i = 0; i < 40; ++i) {
        b.batch(1, batch_of({1}));
        b.batch(2, batch_of({1}));
        LONGS_EQUAL(1, b.all<dispatch_query>().size());
        b.answer_all();
        b.wait(from_ms(25));
        b.answer_all();
        b.wait(from_ms(25));
        LONGS_EQUAL(1, b.gauge(1).limit);
    }
    b.wait(from_ms(1000));
    for (peer_handle i = 0; i < 8; ++i) {
        b.batch(1, batch_of({1}));
        b.answer_all();
    }
    LONGS_EQUAL(2, b.gauge(1).limit);
}

// Guards against a planned change of owner that costs a cold start.
TEST(owner_engine, continues_with_the_state_of_a_planned_handover)
{
    upstream_gauge const state{.upstream = upstream_id(1),
                               .condition = upstream_condition::warm,
                               .limit = 9,
                               .in_flight = 1};
    owner_bench before;
    before.engine.on_handover(before.now, {state}, before.out);
    before.view({.slots = 4});
    LONGS_EQUAL(3, before.gauge(1).limit);
    CHECK(before.gauge(1).condition == upstream_condition::warming);

    owner_bench after;
    after.view({.slots = 4});
    after.engine.on_handover(after.now, {state}, after.out);
    LONGS_EQUAL(3, after.gauge(1).limit);
    after.engine.on_sub_failed(after.now, {}, {}, after.out);
    after.wait(from_ms(4000));
    after.engine.on_status(after.now, upstream_id(1), {.starting = true},
                           after.out);
    after.engine.on_handover(after.now, {state}, after.out);
    CHECK(after.gauge(1).condition == upstream_condition::cold);
}

// Guards against connections that are opened too late or kept for ever.
TEST(owner_engine, opens_and_closes_connections_with_ownership)
{
    owner_bench b;
    b.view({.upstreams = 1});
    auto const opened = b.all<set_connections>();
    LONGS_EQUAL(1, opened.size());
    LONGS_EQUAL(2, opened[0].warm);
    LONGS_EQUAL(25, opened[0].max);
    LONGS_EQUAL(1, b.all<poll_status>().size());
    b.out.clear();
    b.view({.upstreams = 0});
    auto const closed = b.all<set_connections>();
    LONGS_EQUAL(1, closed.size());
    LONGS_EQUAL(0, closed[0].max);
    CHECK(!b.engine.next_timer().has_value());
    LONGS_EQUAL(1, b.engine.counters().ownership_lost);
}

// Guards against a lost owner whose upstreams nobody serves until the member
// list has noticed: the second owner takes retries, one at a time.
TEST(owner_engine, second_owner_takes_retries_only)
{
    small_config const c{.upstreams = 8};
    auto const config = c.build();
    auto const table = view_of(config, {"a", "b"});
    std::uint32_t second = 0;
    for (topology_index i = 0; i < 8; ++i) {
        if (table->owners->owners(i).first == host_index{1}) {
            second = config->upstreams()[i].object.id.value;
        }
    }
    CHECK(second != 0);
    owner_bench b;
    b.engine.on_view(b.now, table, b.out);
    b.wait(from_ms(20));
    b.batch(1, batch_of({second}));
    CHECK(b.outcome(second) == sub_outcome::not_owner);
    auto retry = batch_of({second});
    retry.retry = true;
    b.batch(2, retry);
    b.batch(3, retry);
    LONGS_EQUAL(1, b.all<dispatch_query>().size());
    CHECK(b.gauge(second).condition == upstream_condition::unknown);
}

// Guards against status polls that come together or not at all.
TEST(owner_engine, polls_each_upstream_at_the_interval)
{
    owner_bench b;
    b.view({.upstreams = 5});
    b.out.clear();
    b.wait(from_ms(10'000));
    LONGS_EQUAL(50, b.all<poll_status>().size());
}

// Guards against a catalogue that stays empty after a start: a describe
// request waits for the first status, but not for ever.
TEST(owner_engine, describes_once_the_first_status_is_known)
{
    owner_bench b;
    b.view({.upstreams = 2});
    describe_request const both{.id = request_id(5),
                                .targets = {upstream_id(1), upstream_id(2)}};
    b.engine.on_describe(b.now, 1, both, b.out);
    upstream_status const status{.held = {{.version = index_version(7)}}};
    b.engine.on_status(b.now, upstream_id(1), status, b.out);
    LONGS_EQUAL(0, b.all<send_described>().size());
    b.engine.on_status(b.now, upstream_id(2), status, b.out);
    LONGS_EQUAL(1, b.all<send_described>().size());
    LONGS_EQUAL(2, b.all<send_described>()[0].answer.upstreams.size());
    CHECK(b.all<send_described>()[0].answer.upstreams[1].held == status.held);

    owner_bench silent;
    silent.view({.upstreams = 2});
    silent.engine.on_describe(silent.now, 1, both, silent.out);
    silent.wait(from_ms(60));
    LONGS_EQUAL(1, silent.all<send_described>().size());
}

// Guards against a batch from the network that names a target twice or none.
TEST(owner_engine, answers_odd_batches_once)
{
    owner_bench b;
    b.warm_up({});
    b.batch(1, batch_of({}));
    LONGS_EQUAL(1, b.all<send_part>().size());
    CHECK(b.all<send_part>()[0].part.final);
    b.batch(2, batch_of({1, 1}));
    LONGS_EQUAL(1, b.all<dispatch_query>().size());
    auto late = batch_of({2});
    late.remaining = from_ms(-5);
    b.batch(3, late);
    CHECK(b.outcome(2) == sub_outcome::timed_out);
}
