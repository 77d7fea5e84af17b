#include "core/query/route_table.hpp"
#include "query_world.hpp"

#include <CppUTest/TestHarness.h>

#include <cmath>

using namespace snipemill;

TEST_GROUP(query_engine){};

// Guards against a query that is answered before every service is merged, or
// whose coverage, total or records do not match what was merged.
TEST(query_engine, whole_answer_from_all_services)
{
    query_world w({});
    auto const batches = w.open_query(1, {.limit = 5});
    for (auto const& sent : batches) {
        CHECK(w.take<answer_caller>().empty());
        w.answer(sent);
    }

    auto const it = w.take_answer();
    CHECK(it.coverage.fraction == 1.0);
    LONGS_EQUAL(8, it.coverage.merged);
    LONGS_EQUAL(24, it.total);
    LONGS_EQUAL(5, it.records.size());
    CHECK(it.records.front().key == "p000-0");
    CHECK(it.records.back().key == "p004-0");
    LONGS_EQUAL(7, it.snapshot.value);
    LONGS_EQUAL(4, it.sub_requests);
    LONGS_EQUAL(0, w.engine.in_flight());
    CHECK(!w.engine.next_timer().has_value());
}

// Guards against a refusal that is wrong about whether the query ran.
TEST(query_engine, early_refusals_have_not_run)
{
    query_engine empty({}, 0, 1, 1);
    query_actions out;
    empty.on_query(time_point{}, 1, {.group = "orders"}, out);
    auto const& first = std::get<answer_caller>(out.front());
    CHECK(std::get<failure>(first.result).code == errc::no_configuration);

    query_world w({.engine = {.max_queries = 1, .max_limit = 100}});
    auto const refused = [&](caller_query const& query) {
        w.engine.on_query(w.now, 9, query, w.actions);
        auto const it = w.take_failure();
        CHECK(it.run == run_state::not_run);
        CHECK(w.actions.empty());
        return it.code;
    };
    CHECK(refused({.group = "none"}) == errc::unknown_group);
    CHECK(refused({.group = "orders", .offset = 0xffffffff, .limit = 2}) ==
          errc::malformed_request);
    w.open_query(1, {});
    CHECK(refused({.group = "orders"}) == errc::overloaded);
    std::get<data_centre_object>(w.objects["data_centre/dc0"]).state =
        data_centre_state::out;
    w.publish();
    CHECK(refused({.group = "orders"}) == errc::data_centre_out);
}

// Guards against a query that hangs, or claims to have run, when no owner
// describes its upstreams.
TEST(query_engine, undescribed_group_is_refused_within_part_of_the_deadline)
{
    query_world w({});
    w.engine.on_query(w.now, 1, {.group = "orders"}, w.actions);
    LONGS_EQUAL(3, w.take<send_describe>().size());
    w.advance(from_ms(124));
    CHECK(w.take<answer_caller>().empty());
    w.advance(from_ms(1));
    auto const it = w.take_failure();
    CHECK(it.run == run_state::not_run);
    LONGS_EQUAL(0, w.engine.in_flight());
}

// Guards against a batch with targets of another owner, and against request
// ids that reach another lane or are used again.
TEST(query_engine, one_batch_per_first_owner_with_unique_ids_of_the_lane)
{
    query_world w({.services = 30, .lane = 2, .lanes = 4});
    std::set<request_id> ids;
    for (caller_handle caller = 1; caller <= 5; ++caller) {
        auto const batches = w.open_query(caller, {});
        CHECK(batches.size() <= 3);
        for (auto const& sent : batches) {
            LONGS_EQUAL(2, sent.batch.id.value % 4);
            CHECK(ids.insert(sent.batch.id).second);
            route_table const routes(w.view);
            for (auto const u : sent.batch.targets) {
                auto const& route = routes.route(*routes.find(u));
                CHECK(routes.host(route.first) == sent.to);
            }
        }
    }
}

// Guards against late, repeated, foreign or wrong-version parts reaching an
// answer.
TEST(query_engine, unusable_parts_are_counted_and_absent)
{
    query_world w({.hosts = 1, .group = {.name = "orders", .min_coverage = 0}});
    auto const sent = w.open_query(1, {}).front();
    auto const one = {sent.batch.targets[0]};

    w.answer_part(host_id("stranger"), w.whole_part(sent.batch));
    auto wrong = w.part(sent.batch, one, false);
    wrong.version = index_version(8);
    w.answer_part(sent.to, wrong);
    auto unlisted = w.part(sent.batch, one, false);
    unlisted.results.clear();
    w.answer_part(sent.to, unlisted);
    auto not_a_number = w.part(sent.batch, one, false);
    not_a_number.records[0].rank = std::nan("");
    w.answer_part(sent.to, not_a_number);
    w.answer_part(sent.to, w.part(sent.batch, one, false));
    w.answer_part(sent.to, w.part(sent.batch, one, false));
    w.advance(from_ms(500));

    auto const it = w.take_answer();
    LONGS_EQUAL(2, it.coverage.merged);
    LONGS_EQUAL(6, it.total);
    LONGS_EQUAL(6, it.records.size());
    CHECK(it.deadline_cut);
    w.answer(sent);
    auto const& n = w.engine.counters();
    LONGS_EQUAL(1, n.wrong_version);
    LONGS_EQUAL(3, n.malformed);
    LONGS_EQUAL(1, n.duplicate_results);
    LONGS_EQUAL(1, n.late_parts);
    CHECK(w.take<answer_caller>().empty());
}

// Guards against records of a target that was first reported as failed and
// then repeated as merged: its partition is not part of the coverage.
TEST(query_engine, records_of_a_dropped_result_are_absent)
{
    query_world w({.replicas = 1,
                   .hosts = 1,
                   .group = {.name = "orders", .min_coverage = 0}});
    auto const sent = w.open_query(1, {.limit = 100}).front();
    auto const repeated = sent.batch.targets[0];
    query_part lost{.id = sent.batch.id, .version = sent.batch.version};
    lost.results.push_back(w.failed(repeated, sub_outcome::reset));
    w.answer_part(sent.to, lost);
    w.answer(sent);

    auto const it = w.take_answer();
    LONGS_EQUAL(6, it.coverage.merged);
    LONGS_EQUAL(18, it.total);
    LONGS_EQUAL(18, it.records.size());
    LONGS_EQUAL(1, w.engine.counters().duplicate_results);
}

// Guards against an answer below the wanted coverage, and against a partial
// one that is not marked or does not name what is missing.
TEST(query_engine, low_coverage_is_refused_or_marked)
{
    for (auto const partial : {false, true}) {
        query_world w({.replicas = 1});
        auto const batches = w.open_query(1, {.partial = partial});
        for (std::size_t i = 1; i < batches.size(); ++i) {
            w.answer(batches[i]);
        }
        w.advance(from_ms(500));
        auto const lost = batches[0].batch.targets.size();
        LONGS_EQUAL(1, w.take<cancel_batch>().size());
        if (!partial) {
            auto const it = w.take_failure();
            CHECK(it.code == errc::coverage_too_low);
            CHECK(it.run == run_state::ran);
            continue;
        }
        auto const it = w.take_answer();
        CHECK(it.partial && it.deadline_cut);
        LONGS_EQUAL(8 - 2 * lost, it.coverage.merged);
        CHECK(*it.coverage.fraction == it.coverage.merged / 8.0);
        LONGS_EQUAL(lost, it.coverage.missing.size());
        LONGS_EQUAL(lost, it.coverage.missing_services.size());
        CHECK(it.coverage.missing[0].service ==
              it.coverage.missing_services[0]);
    }
}

// Guards against a claim of full coverage while upstreams disagree on the
// partition count of the version.
TEST(query_engine, contradictory_partition_count_gives_no_coverage)
{
    query_world w({.hosts = 1});
    auto const sent = w.open_query(1, {.min_coverage = 0.0}).front();
    auto part = w.whole_part(sent.batch);
    part.results[0].partition_count = 99;
    w.answer_part(sent.to, part);
    CHECK(!w.take_answer().coverage.fraction.has_value());

    w.answer(w.open_query(2, {}).front());
    CHECK(w.take_failure().code == errc::coverage_too_low);
}

// Guards against work that goes on, or an answer that is sent, after the
// caller has disconnected.
TEST(query_engine, caller_gone_cancels_every_batch)
{
    query_world w({});
    auto const batches = w.open_query(1, {});
    w.answer(batches[0]);
    w.engine.on_caller_gone(w.now, 1, w.actions);
    LONGS_EQUAL(batches.size() - 1, w.take<cancel_batch>().size());
    CHECK(w.take<answer_caller>().empty());
    LONGS_EQUAL(0, w.engine.in_flight());
    w.answer(batches[1]);
    CHECK(w.actions.empty());
}

// Guards against the latency preference cutting coverage below what was asked
// for, or waiting for the deadline although enough is there.
TEST(query_engine, latency_preference_answers_early_with_enough_coverage)
{
    for (auto const wanted : {0.5, 1.0}) {
        query_world w({.hosts = 1,
                       .group = {.name = "orders",
                                 .min_coverage = wanted,
                                 .preference = query_preference::latency}});
        auto const sent = w.open_query(1, {}).front();
        auto targets = sent.batch.targets;
        targets.pop_back();
        w.answer_part(sent.to, w.part(sent.batch, targets, false));
        w.advance(from_ms(59));
        CHECK(w.take<answer_caller>().empty());
        w.advance(from_ms(1));
        if (wanted == 1.0) {
            CHECK(w.take<answer_caller>().empty());
            continue;
        }
        auto const it = w.take_answer();
        CHECK(!it.partial && !it.deadline_cut);
        CHECK(it.coverage.fraction == 0.75);
    }
}
