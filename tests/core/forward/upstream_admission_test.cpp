#include "core/base/hash.hpp"
#include "forward_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::test;

namespace {

// In any window an upstream may get this multiple of its limit, plus a slack.
constexpr double limit_factor = 1.5;
constexpr std::size_t limit_slack = 5;
constexpr duration limit_window = from_ms(4000);

upstream_signals limit_of(double rate)
{
    return {.rate_limit = rate};
}

// Hosts that send to one upstream whenever they may.
struct sending_hosts
{
    explicit sending_hosts(std::size_t n)
    {
        senders.hosts = static_cast<double>(n);
        for (std::size_t i = 0; i < n; ++i) {
            hosts.emplace_back(hash_bytes("upstream", hash_combine(7, i)));
        }
    }
    void state(upstream_signals const& signals)
    {
        for (auto& it : hosts) {
            it.on_answer(signals, now, now, senders);
        }
    }
    // Every host has a request each 5 ms.
    void send_for(duration d)
    {
        for (auto const end = now + d; now < end; now += from_ms(5)) {
            for (auto& it : hosts) {
                if (it.next_send(now, senders, false) <= now) {
                    it.on_sent(now, senders, 0);
                    sent.push_back(now);
                }
            }
        }
    }
    std::size_t most_in_window() const
    {
        std::size_t most = 0;
        std::size_t from = 0;
        for (std::size_t to = 0; to < sent.size(); ++to) {
            while (sent[to] - sent[from] >= limit_window) {
                ++from;
            }
            most = std::max(most, to - from + 1);
        }
        return most;
    }

    sender_group senders;
    std::vector<upstream_admission> hosts;
    time_point now{from_ms(100'000)};
    std::vector<time_point> sent;
};

std::size_t allowed(double limit)
{
    return static_cast<std::size_t>(limit_factor * limit * to_ms(limit_window) /
                                    1000) +
           limit_slack;
}

} // namespace

TEST_GROUP(upstream_admission)
{
    forward_fixture f;
    sender_group one;
};

// Guards against hosts that each use the limit which an upstream states for all
// of them together.
TEST(upstream_admission, a_stated_limit_holds_for_all_hosts_together)
{
    for (auto const& [n, limit] :
         std::vector<std::pair<std::size_t, double>>{{1, 10},
                                                     {6, 28},
                                                     {6, 3},
                                                     {6, 0.5},
                                                     {6, 0},
                                                     {7, 100},
                                                     {67, 25},
                                                     {67, 2},
                                                     {480, 30}}) {
        sending_hosts hosts(n);
        hosts.state(limit_of(limit));
        hosts.send_for(from_ms(12'000));
        CHECK_COMPARE(hosts.most_in_window(), <=, allowed(limit));
        // All of them fall silent, then have requests at the same moment.
        hosts.now += from_ms(10'000);
        hosts.send_for(from_ms(6000));
        CHECK_COMPARE(hosts.most_in_window(), <=, allowed(limit));
    }
}

// Guards against using much less than an upstream offers, which would refuse
// callers without need.
TEST(upstream_admission, hosts_use_the_limit_that_is_stated)
{
    sending_hosts hosts(6);
    hosts.state(limit_of(28));
    hosts.send_for(from_ms(10'000));
    CHECK_COMPARE(hosts.sent.size(), >=, 250U);
}

// Guards against keeping to an old limit after a lower or a higher one.
TEST(upstream_admission, the_newest_limit_holds)
{
    sending_hosts hosts(6);
    hosts.state(limit_of(60));
    hosts.send_for(from_ms(5000));
    hosts.state(limit_of(6));
    hosts.sent.clear();
    hosts.send_for(from_ms(8000));
    CHECK_COMPARE(hosts.most_in_window(), <=, allowed(6));
    hosts.state(limit_of(60));
    hosts.sent.clear();
    hosts.send_for(from_ms(8000));
    CHECK_COMPARE(hosts.sent.size(), >=, 400U);
}

// Guards against a limit that outlives the answers which state it.
TEST(upstream_admission, a_limit_ends_with_an_answer_that_states_none)
{
    sending_hosts hosts(1);
    auto& it = hosts.hosts[0];
    hosts.state(limit_of(0));
    auto const sent_before = hosts.now - from_ms(1);
    CHECK(it.on_answer({}, sent_before, hosts.now, one) ==
          admission_change::none);
    CHECK(it.rate_limit().has_value());
    CHECK(it.on_answer({}, hosts.now, hosts.now, one) ==
          admission_change::limit_ended);
    CHECK(it.next_send(hosts.now, one, false) == hosts.now);
}

// Guards against hosts that never learn that a limit of 0 has ended.
TEST(upstream_admission, a_limit_of_zero_is_probed)
{
    sending_hosts hosts(6);
    hosts.state(limit_of(0));
    hosts.send_for(from_ms(120'000));
    CHECK_COMPARE(hosts.sent.size(), >=, 6U);
}

// Guards against sending to an upstream that asked this host to stay away.
TEST(upstream_admission, waits_as_long_as_an_upstream_asks)
{
    upstream_admission it;
    CHECK(it.on_answer({.retry_after = from_ms(3000)}, f.now, f.now, one) ==
          admission_change::retry_later);
    CHECK(it.next_send(f.now, one, false) == f.now + from_ms(3000));
    // An answer to an earlier request does not shorten the time.
    it.on_answer({.retry_after = from_ms(100)}, f.now, f.now, one);
    it.on_answer({}, f.now, f.now, one);
    CHECK(it.next_send(f.now, one, false) == f.now + from_ms(3000));
    auto const later = f.now + from_ms(3000);
    CHECK(it.next_send(later, one, false) == later);
}

// Guards against sending to an upstream that announced its end in an answer,
// and against forgetting the announcement when its entry lapses for a time.
TEST(upstream_admission, a_leaving_upstream_gets_nothing_more)
{
    auto const route = f.single_route(idempotency::idempotent);
    {
        run_driver run(f, route);
        auto answer = good_answer();
        answer.signals.leaving = true;
        f.exchanges.end(0, answer);
    }
    auto const leaving = f.exchanges.instance(0);
    auto const all = f.records;
    for (int i = 0; i < 3; ++i) {
        run_driver run(f, route);
        CHECK(f.exchanges.all.back().to->record.instance != leaving);
        f.exchanges.end(f.exchanges.all.size() - 1, good_answer());
        // The store loses the entries, and gets them back.
        f.records.clear();
        f.update();
        f.records = all;
        f.update();
        f.now += from_ms(1000);
    }
    // A new start of the upstream is another upstream.
    for (auto& it : f.records) {
        ++it.started_ms;
    }
    f.update();
    CHECK_FALSE(f.upstream(leaving)->leaving());
}

// Guards against a late answer whose signals are lost because the request has
// been answered by another upstream.
TEST(upstream_admission, signals_of_late_answers_count)
{
    run_driver run(f, f.single_route(idempotency::idempotent));
    run.pass(from_ms(60));
    f.exchanges.end(1, good_answer());
    auto late = good_answer();
    late.signals.rate_limit = 5;
    f.exchanges.end(0, late);
    CHECK(f.exchanges.all[0].to->admission.rate_limit() == 5);
}

// Guards against callers that wait for an upstream which takes nothing more
// now, and against a Retry-After at which they would be refused again.
TEST(upstream_admission, callers_beyond_a_limit_are_refused_at_once)
{
    for (auto const& it : f.fleet.all()) {
        f.fleet.on_answer(*it, {.retry_after = from_ms(2000)}, f.now, f.now);
    }
    run_driver run(f, f.single_route(idempotency::idempotent));
    UNSIGNED_LONGS_EQUAL(0, f.exchanges.all.size());
    auto const& refused = std::get<error_answer>(*run.answer);
    UNSIGNED_LONGS_EQUAL(503, refused.status);
    CHECK(refused.reason.run == run_state::not_run);
    CHECK(refused.retry_after == from_ms(2000));
}

// Guards against hedges and retries beyond a limit.
TEST(upstream_admission, hedges_and_retries_keep_to_the_limit)
{
    for (auto const& it : f.fleet.all()) {
        f.fleet.on_answer(*it, limit_of(0.001), f.now, f.now);
    }
    f.now += from_ms(200'000);
    auto refusal = shed_answer();
    refusal.signals = limit_of(0.001);
    f.shared.budget_settings = {.floor = 1000};
    auto const route = f.single_route(idempotency::idempotent);
    for (int i = 0; i < 10; ++i) {
        run_driver run(f, route);
        for (std::size_t n = 0; n < f.exchanges.all.size(); ++n) {
            if (f.exchanges.all[n].on_outcome) {
                f.exchanges.end(n, refusal);
            }
        }
        run.pass(from_ms(800));
    }
    CHECK_COMPARE(f.exchanges.all.size(), <=, 4U);
}
