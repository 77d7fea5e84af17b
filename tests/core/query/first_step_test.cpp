#include "core/query/route_table.hpp"
#include "query_world.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace snipemill;

namespace {

world_settings stepping(std::uint32_t services, std::uint32_t replicas)
{
    return {.services = services,
            .replicas = replicas,
            .group = {.name = "orders", .first_step = true}};
}

// The only target of the only batch that is sent.
upstream_id target_of(std::vector<send_batch> const& sent)
{
    LONGS_EQUAL(1, sent.size());
    LONGS_EQUAL(1, sent[0].batch.targets.size());
    return sent[0].batch.targets[0];
}

// Answers all batches. Returns those of retries, of which there is one.
send_batch answer_all(query_world& w, std::vector<send_batch> const& batches)
{
    auto const retry =
        std::find_if(batches.begin(), batches.end(),
                     [](send_batch const& it) { return it.batch.retry; });
    CHECK(retry != batches.end());
    LONGS_EQUAL(1, retry->batch.targets.size());
    for (auto const& sent : batches) {
        w.answer(sent);
    }
    return *retry;
}

bool may_have_run(sub_outcome outcome)
{
    return outcome == sub_outcome::reset || outcome == sub_outcome::malformed;
}

} // namespace

TEST_GROUP(first_step){};

// Guards against a crashing query that takes down both replicas of a service,
// so that other queries lose that service, and against the loss of the service
// when the query turns out to be harmless.
TEST(first_step, failed_service_waits_until_another_one_has_answered)
{
    for (auto const outcome :
         {sub_outcome::reset, sub_outcome::unreachable, sub_outcome::refused,
          sub_outcome::malformed, sub_outcome::draining}) {
        query_world w(stepping(4, 2));
        auto const step = w.open_query(1, {});
        auto const failed = target_of(step);
        w.fail_targets(step[0], outcome);
        auto const second = w.take<send_batch>();
        CHECK(w.service_of(target_of(second)) != w.service_of(failed));
        CHECK(!second[0].batch.retry);
        w.answer(second[0]);
        auto const retry = answer_all(w, w.take<send_batch>());
        auto const again = retry.batch.targets[0];
        LONGS_EQUAL(w.service_of(failed), w.service_of(again));
        CHECK(again != failed);
        auto const it = w.take_answer();
        CHECK(it.coverage.fraction == 1.0);
        LONGS_EQUAL(5, it.sub_requests);
    }
}

// Guards against the targets of a lost owner being left out of a query that
// another upstream has survived.
TEST(first_step, lost_owner_is_replaced_after_the_step)
{
    query_world w(stepping(4, 2));
    auto const step = w.open_query(1, {});
    auto const lost = target_of(step);
    w.fail_stream(step[0]);
    auto const second = w.take<send_batch>();
    CHECK(w.service_of(target_of(second)) != w.service_of(lost));
    w.answer(second[0]);
    auto const retry = answer_all(w, w.take<send_batch>());
    CHECK(retry.batch.targets[0] == lost);
    CHECK(retry.to != step[0].to);
    CHECK(w.take_answer().coverage.fraction == 1.0);
}

// Guards against a service with one replica being given up for a refusal in
// the step.
TEST(first_step, only_replica_is_asked_again_after_the_step)
{
    query_world w(stepping(4, 1));
    auto const step = w.open_query(1, {});
    auto const failed = target_of(step);
    w.fail_targets(step[0], sub_outcome::refused);
    auto const second = w.take<send_batch>();
    w.answer(second[0]);
    auto const retry = answer_all(w, w.take<send_batch>());
    CHECK(retry.batch.targets[0] == failed);
    CHECK(w.take_answer().coverage.fraction == 1.0);
}

// Guards against a query that crashes more than two upstreams in its first
// step, or two of the same service.
TEST(first_step, ends_after_two_crashes)
{
    query_world w(stepping(4, 2));
    auto const step = w.open_query(1, {});
    auto const first = target_of(step);
    w.fail_targets(step[0], sub_outcome::reset);
    auto const again = w.take<send_batch>();
    CHECK(w.service_of(target_of(again)) != w.service_of(first));
    w.fail_targets(again[0], sub_outcome::reset);
    CHECK(w.take<send_batch>().empty());
    CHECK(w.take_failure().run == run_state::ran);
}

// Guards against refusals in between that lead to a third crash, and against
// a step without end.
TEST(first_step, two_sub_requests_may_have_run_whatever_else_failed)
{
    std::vector<sub_outcome> const outcomes = {
        sub_outcome::refused, sub_outcome::reset, sub_outcome::unreachable,
        sub_outcome::malformed};
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        auto settings = stepping(3, 3);
        settings.seed = seed;
        query_world w(settings);
        rng random(seed);
        int sent = 0;
        int ran = 0;
        for (auto step = w.open_query(1, {}); !step.empty();
             step = w.take<send_batch>()) {
            target_of(step);
            auto const outcome = outcomes[random.below(4)];
            w.fail_targets(step[0], outcome);
            ++sent;
            ran += may_have_run(outcome) ? 1 : 0;
        }
        CHECK(ran <= 2);
        CHECK(sent <= 4);
        CHECK(ran == 2 || sent == 4);
        w.take_failure();
    }
}

// Guards against a group with one service whose queries fail whenever one
// upstream closes its connections.
TEST(first_step, only_service_is_tried_at_two_replicas)
{
    query_world w(stepping(1, 3));
    auto const step = w.open_query(1, {});
    auto const first = target_of(step);
    w.fail_targets(step[0], sub_outcome::reset);
    auto const again = w.take<send_batch>();
    CHECK(target_of(again) != first);
    CHECK(again[0].batch.retry);
    w.fail_targets(again[0], sub_outcome::reset);
    CHECK(w.take<send_batch>().empty());
    w.take_failure();
}

// Guards against a second run that may crash two more upstreams.
TEST(first_step, second_run_does_not_start_the_count_anew)
{
    query_world w(stepping(2, 1));
    auto const step = w.open_query(1, {});
    for (auto& [u, held] : w.held) {
        held = {index_version(8)};
    }
    w.fail_targets(step[0], sub_outcome::reset);
    auto const second = w.take<send_batch>();
    w.fail_targets(second[0], sub_outcome::version_gone);
    auto const rerun = w.take<send_batch>();
    target_of(rerun);
    LONGS_EQUAL(8, rerun[0].batch.version.value);
    w.fail_targets(rerun[0], sub_outcome::reset);
    CHECK(w.take<send_batch>().empty());
    CHECK(w.take_failure().run == run_state::ran);
}
