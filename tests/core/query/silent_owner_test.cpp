#include "core/query/route_table.hpp"
#include "query_world.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace snipemill;

namespace {

std::size_t targets_of(std::vector<send_batch> const& batches)
{
    std::size_t n = 0;
    for (auto const& it : batches) {
        n += it.batch.targets.size();
    }
    return n;
}

void silence(query_world& w, host_id const& owner)
{
    w.engine.on_owner_silent(w.now, owner, w.actions);
}

// A host that owns targets of a new query.
host_id some_owner(query_world& w)
{
    auto const batches = w.open_query(100, {});
    for (auto const& sent : batches) {
        w.answer(sent);
    }
    w.take<answer_caller>();
    return batches.front().to;
}

} // namespace

TEST_GROUP(silent_owner){};

// Guards against queries that fail at their deadline because an owner is
// frozen, however small the budgets of hedges and retries are.
TEST(silent_owner, open_targets_are_sent_elsewhere_as_well)
{
    query_world w({.services = 60,
                   .data_centres = 2,
                   .group = {.name = "orders", .hedge_budget = 0},
                   .engine = {.retry_budget = 0}});
    auto const batches = w.open_query(1, {});
    auto const& lost = batches.front();
    for (std::size_t i = 1; i < batches.size(); ++i) {
        w.answer(batches[i]);
    }
    silence(w, lost.to);
    silence(w, lost.to); // reported twice, moved once
    auto const moved = w.take<send_batch>();
    LONGS_EQUAL(lost.batch.targets.size(), targets_of(moved));
    LONGS_EQUAL(lost.batch.targets.size(), w.engine.counters().moves);
    for (auto const& sent : moved) {
        CHECK(sent.to != lost.to);
        CHECK(sent.batch.retry && !sent.batch.hedge);
        w.answer(sent);
    }
    CHECK(w.take_answer().coverage.fraction == 1.0);
    LONGS_EQUAL(0, w.engine.counters().retries);
}

// Guards against a paused owner's answer being thrown away, and against
// records that count twice when both answer.
TEST(silent_owner, late_answer_of_the_silent_owner_counts)
{
    query_world w({.data_centres = 2});
    auto const batches = w.open_query(1, {.limit = 100});
    for (std::size_t i = 1; i < batches.size(); ++i) {
        w.answer(batches[i]);
    }
    silence(w, batches.front().to);
    CHECK(!w.take<send_batch>().empty());
    w.answer(batches.front());
    auto const it = w.take_answer();
    LONGS_EQUAL(24, it.total);
    LONGS_EQUAL(24, it.records.size());
}

// Guards against new work for a silent owner while others can do it, and
// against an owner that gets no work after it has answered again.
TEST(silent_owner, new_targets_avoid_it_until_it_answers)
{
    query_world w({.services = 30, .data_centres = 2});
    auto const lost = some_owner(w);
    silence(w, lost);
    auto const around = w.open_query(1, {});
    LONGS_EQUAL(30, targets_of(around));
    for (auto const& sent : around) {
        CHECK(sent.to != lost);
        w.answer(sent);
    }
    CHECK(w.take_answer().coverage.fraction == 1.0);
    w.publish(); // a new view keeps what is known
    for (auto const& sent : w.open_query(2, {})) {
        CHECK(sent.to != lost);
        w.answer(sent);
    }
    w.take<answer_caller>();
    w.engine.on_owner_answering(lost);
    auto const back = w.open_query(3, {});
    CHECK(std::any_of(back.begin(), back.end(),
                      [&](send_batch const& it) { return it.to == lost; }));
}

// Guards against a second owner that refuses what is not marked for it, and
// against ordinary work that is marked so.
TEST(silent_owner, only_replica_is_reached_through_its_second_owner)
{
    query_world w({.services = 30, .replicas = 1});
    auto const lost = some_owner(w);
    silence(w, lost);
    route_table const routes(w.view);
    auto const batches = w.open_query(1, {});
    LONGS_EQUAL(30, targets_of(batches));
    for (auto const& sent : batches) {
        for (auto const u : sent.batch.targets) {
            auto const& route = routes.route(*routes.find(u));
            auto const by_second = routes.host(route.first) == lost;
            CHECK_EQUAL(by_second, sent.batch.retry);
            auto const to = by_second ? route.second : route.first;
            CHECK(routes.host(to) == sent.to);
        }
        w.answer(sent);
    }
    CHECK(w.take_answer().coverage.fraction == 1.0);
}

// Guards against a query that gives up although the silent owner is the only
// one and may answer before the deadline.
TEST(silent_owner, last_resort_is_the_silent_owner)
{
    query_world w({.replicas = 1, .hosts = 1});
    auto const only = some_owner(w);
    silence(w, only);
    auto const batches = w.open_query(1, {});
    LONGS_EQUAL(4, targets_of(batches));
    CHECK(w.actions.empty());
    for (auto const& sent : batches) {
        CHECK(sent.to == only);
        w.answer(sent);
    }
    CHECK(w.take_answer().coverage.fraction == 1.0);
}

// Guards against moves beyond their bound, and against a target that is moved
// again whenever another owner becomes silent.
TEST(silent_owner, moves_are_bounded)
{
    query_world none({.engine = {.move_budget = 0}});
    auto const first = none.open_query(1, {});
    silence(none, first.front().to);
    CHECK(none.take<send_batch>().empty());

    query_world w({.services = 1, .replicas = 4, .data_centres = 2});
    auto const sent = w.open_query(1, {}).front();
    silence(w, sent.to);
    auto const moved = w.take<send_batch>();
    LONGS_EQUAL(1, moved.size());
    silence(w, moved.front().to);
    CHECK(w.take<send_batch>().empty());
    LONGS_EQUAL(1, w.engine.counters().moves);
}
