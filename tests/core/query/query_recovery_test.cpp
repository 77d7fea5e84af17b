#include "core/query/route_table.hpp"
#include "query_world.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace snipemill;

namespace {

// Answers all batches but the first one, which is returned.
send_batch answer_all_but_first(query_world& w,
                                std::vector<send_batch> const& batches)
{
    for (std::size_t i = 1; i < batches.size(); ++i) {
        w.answer(batches[i]);
    }
    return batches.front();
}

group_object with_hedges(double budget)
{
    return {.name = "orders", .hedge_budget = budget};
}

} // namespace

TEST_GROUP(query_recovery){};

// Guards against losing the targets of a dead owner, and against retrying
// them at the dead owner or more than once.
TEST(query_recovery, lost_owner_is_replaced_by_the_second_owner_once)
{
    query_world w({});
    auto const lost = answer_all_but_first(w, w.open_query(1, {}));
    w.fail_stream(lost);
    route_table const routes(w.view);
    std::size_t retried = 0;
    auto const retries = w.take<send_batch>();
    for (auto const& sent : retries) {
        CHECK(sent.batch.retry && !sent.batch.hedge);
        retried += sent.batch.targets.size();
        for (auto const u : sent.batch.targets) {
            auto const second = routes.route(*routes.find(u)).second;
            CHECK(routes.host(second) == sent.to);
        }
    }
    LONGS_EQUAL(lost.batch.targets.size(), retried);
    for (auto const& sent : retries) {
        w.fail_stream(sent);
    }
    CHECK(w.take<send_batch>().empty());
    CHECK(w.take_failure().code == errc::coverage_too_low);
}

// Guards against a failed upstream's service being given up while another
// replica is there.
TEST(query_recovery, failed_upstream_is_replaced_by_another_replica)
{
    for (auto const outcome :
         {sub_outcome::reset, sub_outcome::shed, sub_outcome::malformed,
          sub_outcome::draining, sub_outcome::version_gone}) {
        query_world w({});
        auto const failed = answer_all_but_first(w, w.open_query(1, {}));
        w.fail_targets(failed, outcome);
        for (auto const& sent : w.take<send_batch>()) {
            for (auto const u : sent.batch.targets) {
                auto const& old = failed.batch.targets;
                CHECK(std::find(old.begin(), old.end(), u) == old.end());
            }
            w.answer(sent);
        }
        CHECK(w.take_answer().coverage.fraction == 1.0);
    }
}

// Guards against retries beyond the budget, and of work that has already used
// up its time.
TEST(query_recovery, no_retry_without_budget_or_time)
{
    query_world none({.engine = {.retry_budget = 0}});
    none.fail_stream(answer_all_but_first(none, none.open_query(1, {})));
    CHECK(none.take<send_batch>().empty());

    query_world w({});
    w.fail_targets(answer_all_but_first(w, w.open_query(1, {})),
                   sub_outcome::timed_out);
    CHECK(w.take<send_batch>().empty());

    // A full outage of 40 services may use the 10 initial tokens and the 4
    // that the query earned.
    query_world big({.services = 40, .hosts = 1});
    big.fail_targets(big.open_query(1, {}).front(), sub_outcome::reset);
    LONGS_EQUAL(14, big.engine.counters().retries);
}

// Guards against a straggler that delays a query although its replica is
// idle, a loser that keeps its slot, and records or totals counted twice.
TEST(query_recovery, hedge_wins_and_the_loser_is_cancelled)
{
    query_world w({.group = with_hedges(1)});
    auto const slow = answer_all_but_first(w, w.open_query(1, {}));
    w.advance(from_ms(29));
    CHECK(w.take<send_batch>().empty());
    w.advance(from_ms(1));
    auto const hedges = w.take<send_batch>();
    w.answer_part(slow.to, w.part(slow.batch, {}, false));
    for (auto const& sent : hedges) {
        CHECK(sent.batch.hedge && !sent.batch.retry);
        w.answer(sent);
    }
    std::size_t cancelled = 0;
    for (auto const& it : w.take<cancel_targets>()) {
        CHECK(it.to == slow.to && it.id == slow.batch.id);
        cancelled += it.targets.size();
    }
    LONGS_EQUAL(slow.batch.targets.size(), cancelled);
    auto const it = w.take_answer();
    LONGS_EQUAL(24, it.total);
    LONGS_EQUAL(slow.batch.targets.size(), it.hedges);
    LONGS_EQUAL(it.hedges, w.engine.counters().hedges_won);
}

// Guards against double counting when both replicas answer before the loser
// can be cancelled.
TEST(query_recovery, two_replicas_that_answer_count_once)
{
    query_world w({.hosts = 1, .group = with_hedges(1)});
    auto const first = w.open_query(1, {.limit = 100}).front();
    w.advance(from_ms(30));
    auto const hedge = w.take<send_batch>().front();
    auto targets = hedge.batch.targets;
    targets.pop_back();
    w.answer_part(hedge.to, w.part(hedge.batch, targets, false));
    w.answer(first);
    auto const it = w.take_answer();
    LONGS_EQUAL(24, it.total);
    LONGS_EQUAL(24, it.records.size());
    LONGS_EQUAL(0, w.engine.counters().duplicate_records);
}

// Guards against a refused hedge ending its service, and against hedges
// beyond the budget.
TEST(query_recovery, hedges_are_bounded_and_may_be_refused)
{
    query_world w({.hosts = 1, .group = with_hedges(0.5)});
    auto const first = w.open_query(1, {}).front();
    w.advance(from_ms(30));
    auto const hedge = w.take<send_batch>().front();
    LONGS_EQUAL(2, hedge.batch.targets.size());
    w.fail_targets(hedge, sub_outcome::hedge_refused);
    CHECK(w.actions.empty());
    w.answer(first);
    CHECK(w.take_answer().coverage.fraction == 1.0);
}

// Guards against a service that is given up because its other replica, which
// is healthy, had refused a hedge for want of a free slot.
TEST(query_recovery, replica_that_refused_a_hedge_still_gets_the_retry)
{
    for (bool const hedge_ends_first : {true, false}) {
        query_world w({.services = 1, .hosts = 1, .group = with_hedges(1)});
        auto const first = w.open_query(1, {}).front();
        w.advance(from_ms(30));
        auto const hedge = w.take<send_batch>().front();
        if (hedge_ends_first) {
            w.fail_targets(hedge, sub_outcome::hedge_refused);
        }
        w.fail_targets(first, sub_outcome::draining);
        if (!hedge_ends_first) {
            w.fail_targets(hedge, sub_outcome::hedge_refused);
        }
        auto const retries = w.take<send_batch>();
        LONGS_EQUAL(1, retries.size());
        CHECK(retries[0].batch.retry && !retries[0].batch.hedge);
        CHECK(retries[0].batch.targets == hedge.batch.targets);
        w.answer(retries[0]);
        CHECK(w.take_answer().coverage.fraction == 1.0);
    }
}

// Guards against a service that is given up because one replica has just
// changed its owner and the other one cannot be reached.
TEST(query_recovery, request_at_a_wrong_owner_does_not_use_up_the_retry)
{
    query_world w({.services = 1, .hosts = 3});
    auto const first = w.open_query(1, {}).front();
    w.fail_targets(first, sub_outcome::not_owner);
    auto const rerouted = w.take<send_batch>();
    LONGS_EQUAL(1, rerouted.size());
    CHECK(rerouted[0].batch.targets != first.batch.targets);
    w.fail_targets(rerouted[0], sub_outcome::unreachable);
    auto const retries = w.take<send_batch>();
    LONGS_EQUAL(1, retries.size());
    CHECK(retries[0].batch.targets == first.batch.targets);
    CHECK(retries[0].to != first.to);
    w.fail_targets(retries[0], sub_outcome::unreachable);
    CHECK(w.take<send_batch>().empty());
    CHECK(w.take_failure().code == errc::coverage_too_low);
}

// Guards against new work for an upstream that a ticket has taken out while
// the query was running.
TEST(query_recovery, no_retry_or_hedge_at_an_upstream_that_became_unusable)
{
    query_world w({.services = 1, .group = with_hedges(1)});
    auto const sent = w.open_query(1, {}).front();
    for (auto const r : {0U, 1U}) {
        w.upstream(w.id(0, r)).state = upstream_state::leaving;
    }
    w.publish();
    w.advance(from_ms(30));
    w.fail_stream(sent);
    CHECK(w.take<send_batch>().empty());
    CHECK(w.take_failure().run == run_state::ran);
}

// Guards against an answer that mixes two versions, and against a query that
// fails although a newer version is there and time is left.
TEST(query_recovery, runs_once_more_when_the_version_is_gone)
{
    query_world w({.replicas = 1});
    auto const batches = w.open_query(1, {.limit = 100});
    for (auto& [u, held] : w.held) {
        held = {index_version(8)};
    }
    for (auto const u : batches[0].batch.targets) {
        w.held[u] = {index_version(7), index_version(8)};
    }
    for (auto const& sent : batches) {
        w.answer(sent);
    }
    for (auto const& sent : w.take<send_batch>()) {
        LONGS_EQUAL(8, sent.batch.version.value);
        w.answer(sent);
    }
    auto const it = w.take_answer();
    CHECK(it.coverage.fraction == 1.0);
    LONGS_EQUAL(8, it.snapshot.value);
    LONGS_EQUAL(1, it.reruns);
    LONGS_EQUAL(24, it.records.size());
    for (auto const& r : it.records) {
        CHECK(r.body == "8");
    }
    auto const late = w.engine.counters().late_parts;
    w.answer(batches[0]);
    LONGS_EQUAL(late + 1, w.engine.counters().late_parts);
}

// Guards against a service that is left out because what is known of its only
// replica is out of date.
TEST(query_recovery, replica_thought_to_lag_is_asked_when_there_is_no_other)
{
    query_world w({.replicas = 1});
    for (auto& [u, held] : w.held) {
        held = {index_version(8)};
    }
    w.held[w.id(2, 0)] = {index_version(7)};
    auto const batches = w.open_query(1, {});
    w.held[w.id(2, 0)] = {index_version(8)};
    for (auto const& sent : batches) {
        w.answer(sent);
    }
    auto const it = w.take_answer();
    LONGS_EQUAL(8, it.snapshot.value);
    CHECK(it.coverage.fraction == 1.0);
}

// Guards against a second run that cannot end before the deadline.
TEST(query_recovery, no_second_run_in_the_last_third_of_the_deadline)
{
    query_world w({.replicas = 1});
    auto const batches = w.open_query(1, {});
    for (auto& [u, held] : w.held) {
        held = {index_version(8)};
    }
    w.advance(from_ms(334));
    for (auto const& sent : batches) {
        w.answer(sent);
    }
    CHECK(w.take<send_batch>().empty());
    CHECK(w.take_failure().code == errc::coverage_too_low);
}

// Guards against an unknown query reaching all upstreams before one has
// survived it, and against the step being repeated for a known query.
TEST(query_recovery, first_step_tries_one_upstream)
{
    query_world w({.group = {.name = "orders", .first_step = true}});
    auto const step = w.open_query(1, {.body = "{}"});
    LONGS_EQUAL(1, step.size());
    LONGS_EQUAL(1, step[0].batch.targets.size());
    w.advance(from_ms(100));
    CHECK(w.take<send_batch>().empty());
    // A refusal is no crash: another service is tried.
    w.fail_targets(step[0], sub_outcome::refused);
    auto again = w.take<send_batch>();
    LONGS_EQUAL(1, again.size());
    w.answer(again[0]);
    for (auto const& sent : w.take<send_batch>()) {
        w.answer(sent);
    }
    CHECK(w.take_answer().coverage.fraction == 1.0);
    std::size_t targets = 0;
    for (auto const& sent : w.open_query(2, {.body = "{}"})) {
        targets += sent.batch.targets.size();
    }
    LONGS_EQUAL(4, targets);
}

// Guards against further work for a quarantined query, and against "not run"
// when a part of it may have run.
TEST(query_recovery, quarantine_ends_the_query)
{
    for (auto const hosts : {1U, 3U}) {
        query_world w({.hosts = hosts});
        auto const batches = w.open_query(1, {});
        w.fail_targets(batches[0], sub_outcome::quarantined);
        auto const it = w.take_failure();
        CHECK(it.code == errc::quarantined);
        CHECK(it.run == (hosts == 1 ? run_state::not_run : run_state::unknown));
        LONGS_EQUAL(batches.size() - 1, w.take<cancel_batch>().size());
        CHECK(w.actions.empty());
    }
}
