#include "owner_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <utility>
#include <variant>
#include <vector>

using namespace snipemill;

namespace {

query_batch batch_with(duration remaining)
{
    auto b = batch_of({1});
    b.remaining = remaining;
    return b;
}

// An upstream that takes this long for each request, under more load than it
// can serve.
class slow_upstream
{
public:
    slow_upstream(owner_bench& b, duration latency) : b_(b), latency_(latency)
    {}

    // Sends a request with 100 ms every 5 ms; returns how many were answered.
    int run(int ms)
    {
        int answered = 0;
        for (int i = 0; i < ms; ++i) {
            if (i % 5 == 0) {
                b_.batch(next_peer_++, batch_with(from_ms(100)));
            }
            b_.wait(from_ms(1));
            answered += step();
        }
        return answered;
    }

private:
    int step()
    {
        auto const actions = std::exchange(b_.out, {});
        for (auto const& it : actions) {
            if (auto const* a = std::get_if<dispatch_query>(&it)) {
                running_.push_back({a->handle, b_.now + latency_});
            }
        }
        for (auto const& it : actions) {
            if (auto const* a = std::get_if<cancel_dispatch>(&it)) {
                std::erase_if(running_, [&](auto const& r) {
                    return r.first == a->handle;
                });
                b_.fail(a->handle, sub_outcome::cancelled);
            }
        }
        auto const all = std::exchange(running_, {});
        int answered = 0;
        for (auto const& it : all) {
            if (it.second > b_.now) {
                running_.push_back(it);
                continue;
            }
            b_.engine.on_sub_answer(b_.now, it.first, answer_of(1, "k", 1),
                                    b_.out);
            ++answered;
        }
        return answered;
    }

    owner_bench& b_;
    duration latency_;
    peer_handle next_peer_ = 1;
    std::vector<std::pair<slot_handle, time_point>> running_;
};

// An upstream that serves one request at a time, each in 50 ms, and reports
// that it starts until it has served 20.
class starting_upstream
{
public:
    explicit starting_upstream(owner_bench& b) : b_(b) {}

    // Sends a request every 30 ms until the upstream has started; returns the
    // highest number in flight until then.
    std::size_t most_in_flight()
    {
        std::size_t most = 0;
        for (int ms = 0; served_ < 20 && ms < 10'000; ++ms) {
            if (ms % 30 == 0) {
                b_.batch(next_peer_++, batch_with(from_ms(500)));
            }
            b_.wait(from_ms(1));
            take_actions();
            serve();
            most = std::max(most, waiting_.size());
        }
        return most;
    }
    int served() const { return served_; }

private:
    void take_actions()
    {
        auto const actions = std::exchange(b_.out, {});
        for (auto const& it : actions) {
            if (auto const* a = std::get_if<dispatch_query>(&it)) {
                waiting_.push_back(a->handle);
            }
            else if (std::holds_alternative<poll_status>(it)) {
                b_.engine.on_status(b_.now, upstream_id(1), {.starting = true},
                                    b_.out);
            }
        }
    }
    void serve()
    {
        if (waiting_.empty() || ++worked_ms_ < 50) {
            return;
        }
        worked_ms_ = 0;
        b_.engine.on_sub_answer(b_.now, waiting_.front(), answer_of(1, "k", 1),
                                b_.out);
        waiting_.pop_front();
        ++served_;
    }

    owner_bench& b_;
    peer_handle next_peer_ = 1;
    std::deque<slot_handle> waiting_;
    int worked_ms_ = 0;
    int served_ = 0;
};

} // namespace

TEST_GROUP(owner_overload){};

// Guards against a limit that grows between two regular polls although the
// upstream is still starting (R3): three requests collapsed it.
TEST(owner_overload, upstream_that_reports_starting_gets_two_requests_at_most)
{
    for (int phase = 0; phase < 1000; phase += 50) {
        owner_bench b;
        b.view({.upstreams = 0}); // upstreams of a first view are held
        b.view({.upstreams = 1, .slots = 6});
        b.wait(from_ms(phase));
        starting_upstream upstream(b);
        CHECK(upstream.most_in_flight() <= 2);
        LONGS_EQUAL(20, upstream.served());
    }
}

// Guards against an upstream that restarts while it is idle and is then sent as
// many requests as a warm one (R3).
TEST(owner_overload, upstream_that_closed_all_connections_is_cold)
{
    owner_bench b;
    b.warm_up({.upstreams = 1});
    CHECK(b.gauge(1).condition == upstream_condition::warm);
    b.engine.on_connections_lost(b.now, upstream_id(1), b.out);
    CHECK(b.gauge(1).condition == upstream_condition::cold);
    LONGS_EQUAL(1, b.all<poll_status>().size());
    b.wait(from_ms(20));
    b.batch(1, batch_of({1}));
    b.batch(2, batch_of({1}));
    LONGS_EQUAL(1, b.all<dispatch_query>().size());
}

// Guards against polls in quick succession of an upstream that nobody uses.
TEST(owner_overload, unused_cold_upstream_is_polled_at_the_regular_interval)
{
    owner_bench b;
    b.view({.upstreams = 1});
    b.wait(from_ms(5000));
    LONGS_EQUAL(6, b.all<poll_status>().size());
}

// Guards against a slot that is used for a request which is cancelled before
// its answer can arrive.
TEST(owner_overload, waiting_request_without_time_for_an_answer_is_refused)
{
    owner_bench b;
    b.warm_up({});
    CHECK(b.gauge(1).latency_quantile >= from_ms(5));
    b.batch(1, batch_of({1}));
    b.batch(2, batch_of({1}));
    b.batch(3, batch_with(from_ms(12)));
    b.batch(4, batch_with(from_ms(50)));
    b.wait(from_ms(8));
    b.answer_all();
    LONGS_EQUAL(1, b.all<dispatch_query>().size());
    CHECK(b.all<dispatch_query>()[0].request.remaining == from_ms(42));
    LONGS_EQUAL(1, b.engine.counters().timed_out);
}

// Guards against an upstream that is never tried again once its latency is
// longer than every deadline.
TEST(owner_overload, request_that_finds_the_queue_empty_is_started)
{
    owner_bench b;
    b.warm_up({});
    b.batch(1, batch_with(from_ms(1)));
    LONGS_EQUAL(1, b.all<dispatch_query>().size());
}

// Guards against a latency that is not learned because the requests that show
// it are cut at their deadline, by the owner or by the root.
TEST(owner_overload, latency_of_requests_that_are_cut_is_learned)
{
    for (bool const by_root : {false, true}) {
        owner_bench b;
        b.warm_up({});
        for (peer_handle i = 1; i <= 16; ++i) {
            b.batch(i, batch_with(from_ms(50)));
            b.wait(from_ms(by_root ? 49 : 50));
            if (by_root) {
                b.engine.on_peer_gone(b.now, i, b.out);
            }
            b.fail(b.all<dispatch_query>().back().handle,
                   sub_outcome::cancelled);
        }
        CHECK(b.gauge(1).latency_quantile >= from_ms(49));
    }
}

// Guards against an upstream that has become slower, such as one that is cold
// after a restart, doing only work that is cancelled.
TEST(owner_overload, slower_upstream_serves_what_it_can)
{
    owner_bench b;
    b.warm_up({});
    slow_upstream upstream(b, from_ms(40));
    upstream.run(3000); // until the latency is learned
    // Two slots of 40 ms; the limit may be 1.
    CHECK(upstream.run(2000) >= 40);
}
