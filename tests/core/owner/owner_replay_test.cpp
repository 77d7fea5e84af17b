#include "core/base/hash.hpp"
#include "core/base/rng.hpp"
#include "owner_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

using namespace snipemill;

namespace {

constexpr std::uint32_t max_upstreams = 6;

struct running
{
    slot_handle handle;
    std::uint32_t upstream = 0;
    bool submit = false;
    bool cancelled = false;
};

struct asked
{
    std::set<std::uint32_t> open; // targets without a result
    bool final = false;
};

// Drives one engine with random inputs and checks each of its actions.
class owner_replay
{
public:
    explicit owner_replay(std::uint64_t seed)
        : random_(seed), engine_({}, 0, 1, seed)
    {}

    std::uint64_t run()
    {
        change_view();
        for (int i = 0; i < 600; ++i) {
            step();
        }
        finish();
        return digest_;
    }

    std::uint64_t dispatched = 0;
    std::uint64_t faults = 0;

private:
    void step()
    {
        now_ += duration(random_.below(3000));
        cold_before_ = cold();
        switch (random_.below(14)) {
        case 0:
        case 1:
        case 2:
        case 3:
            send_batch();
            break;
        case 4:
        case 5:
        case 6:
        case 7:
        case 8:
            report();
            break;
        case 9:
            send_submit();
            break;
        case 10:
            cancel();
            break;
        case 11:
            rare();
            break;
        default:
            engine_.on_timer(now_, out_);
            break;
        }
        check_actions();
    }

    void rare()
    {
        switch (random_.below(6)) {
        case 0:
            change_view();
            break;
        case 1:
            handover();
            break;
        case 2:
            status();
            break;
        case 3:
            engine_.on_peer_gone(now_, some_peer(), out_);
            gone_.insert(last_peer_);
            break;
        case 4:
            engine_.set_quarantine({fingerprint(random_.below(8))});
            break;
        default:
            describe();
            break;
        }
    }

    std::uint32_t some_upstream() { return 1 + random_.below(max_upstreams); }
    peer_handle some_peer()
    {
        last_peer_ = 1 + random_.below(static_cast<std::uint32_t>(peers_));
        return last_peer_;
    }

    void send_batch()
    {
        std::vector<std::uint32_t> targets;
        for (std::uint32_t i = random_.below(5); i-- > 0;) {
            targets.push_back(some_upstream());
        }
        auto b = batch_of(targets);
        b.remaining = duration(random_.below(60'000));
        b.flush_after = duration(random_.below(30'000));
        b.priority = random_.below(3);
        b.print = fingerprint(random_.below(8));
        b.hedge = random_.below(5) == 0;
        b.retry = random_.below(5) == 0;
        auto const peer = ++peers_;
        batches_[peer].open = {targets.begin(), targets.end()};
        engine_.on_batch(now_, peer, b, out_);
    }

    void send_submit()
    {
        auto const peer = ++peers_;
        submits_[peer] = 0;
        engine_.on_submit(now_, peer,
                          {.id = request_id(peer),
                           .target = upstream_id(some_upstream()),
                           .remaining = duration(random_.below(60'000)),
                           .print = fingerprint(random_.below(8))},
                          out_);
    }

    void describe()
    {
        auto const peer = ++peers_;
        describes_[peer] = 0;
        engine_.on_describe(
            now_, peer,
            {.id = request_id(peer), .targets = {upstream_id(some_upstream())}},
            out_);
    }

    void cancel()
    {
        engine_.on_cancel_targets(
            now_, some_peer(),
            {upstream_id(some_upstream()), upstream_id(some_upstream())}, out_);
    }

    void report()
    {
        if (running_.empty()) {
            return;
        }
        auto const i =
            random_.below(static_cast<std::uint32_t>(running_.size()));
        auto const it = running_[i];
        running_.erase(running_.begin() + i);
        --in_flight_[it.upstream];
        if (it.submit) {
            report_submit(it);
        }
        else {
            report_query(it);
        }
    }

    void report_submit(running const& it)
    {
        submit_outcome outcome = submit_answered{};
        if (random_.below(3) == 0) {
            outcome = submit_not_run{errc::upstream_shed};
        }
        else if (random_.below(3) == 0) {
            outcome = submit_unknown{errc::upstream_reset};
        }
        engine_.on_submit_result(now_, it.handle, {.outcome = outcome}, out_);
    }

    void report_query(running const& it)
    {
        static constexpr sub_outcome failures[] = {
            sub_outcome::version_gone, sub_outcome::shed,
            sub_outcome::unreachable,  sub_outcome::timed_out,
            sub_outcome::reset,        sub_outcome::malformed,
            sub_outcome::draining};
        if (it.cancelled && random_.below(2) == 0) {
            engine_.on_sub_failed(now_, it.handle,
                                  {.outcome = sub_outcome::cancelled}, out_);
        }
        else if (random_.below(8) == 0) {
            ++faults;
            engine_.on_sub_failed(
                now_, it.handle, {.outcome = failures[random_.below(7)]}, out_);
        }
        else {
            engine_.on_sub_answer(now_, it.handle,
                                  answer_of(it.upstream, "k", random_.below(5)),
                                  out_);
        }
    }

    void change_view()
    {
        config_ = {.upstreams = 1 + random_.below(max_upstreams),
                   .slots = 1 + random_.below(4),
                   .data_centre_in = random_.below(8) != 0};
        if (random_.below(3) == 0) {
            config_.states[some_upstream()] = upstream_state::leaving;
        }
        if (random_.below(4) == 0) {
            config_.addresses[some_upstream()] = "127.0.0.1:9";
        }
        std::vector<std::string> hosts{"a"};
        for (std::uint32_t i = random_.below(3); i-- > 0;) {
            hosts.push_back("b" + std::to_string(i));
        }
        engine_.on_view(now_, view_of(config_.build(), hosts), out_);
    }

    void handover()
    {
        engine_.on_handover(now_,
                            {{.upstream = upstream_id(some_upstream()),
                              .condition = upstream_condition::warm,
                              .limit = random_.below(9),
                              .in_flight = random_.below(4)}},
                            out_);
    }

    void status()
    {
        engine_.on_status(now_, upstream_id(some_upstream()),
                          {.starting = random_.below(4) == 0,
                           .draining = random_.below(4) == 0,
                           .in_flight = random_.below(6)},
                          out_);
    }

    std::set<std::uint32_t> cold() const
    {
        std::set<std::uint32_t> found;
        for (auto const& it : engine_.gauges()) {
            if (it.condition == upstream_condition::cold) {
                found.insert(it.upstream.value);
            }
        }
        return found;
    }

    void check_actions()
    {
        cold_after_ = cold();
        auto const actions = std::exchange(out_, {});
        for (auto const& it : actions) {
            note(it.index());
            std::visit([this](auto const& a) { check(a); }, it);
        }
    }

    void note(std::uint64_t v) { digest_ = hash_combine(digest_, v); }

    void check_start(slot_handle h, upstream_id id, bool submit)
    {
        note(h.packed());
        note(id.value);
        ++dispatched;
        auto const u = id.value;
        CHECK(u <= config_.upstreams && config_.data_centre_in);
        CHECK(!config_.states.contains(u));
        if (cold_before_.contains(u) && cold_after_.contains(u)) {
            LONGS_EQUAL(0, in_flight_[u]);
            CHECK(now_ >= last_start_[u] + from_ms(20));
        }
        ++in_flight_[u];
        CHECK(in_flight_[u] <= config_.slots);
        last_start_[u] = now_;
        running_.push_back({h, u, submit, false});
    }

    void check(dispatch_query const& a)
    {
        CHECK(a.request.remaining > duration{});
        check_start(a.handle, a.upstream, false);
    }
    void check(dispatch_submit const& a)
    {
        check_start(a.handle, a.upstream, true);
    }
    void check(cancel_dispatch const& a)
    {
        note(a.handle.packed());
        auto const it =
            std::find_if(running_.begin(), running_.end(),
                         [&](auto const& r) { return r.handle == a.handle; });
        CHECK(it != running_.end());
        CHECK(!it->submit);
        CHECK(!it->cancelled);
        it->cancelled = true;
    }
    void check(send_part const& a)
    {
        note(a.peer);
        CHECK(!gone_.contains(a.peer));
        auto& b = batches_.at(a.peer);
        CHECK(!b.final);
        for (auto const& r : a.part.results) {
            note(r.upstream.value);
            note(static_cast<std::uint64_t>(r.outcome));
            LONGS_EQUAL(1, b.open.erase(r.upstream.value));
        }
        b.final = a.part.final;
        CHECK(b.final == b.open.empty());
        CHECK(b.final || !a.part.results.empty());
    }
    void check(send_submit_result const& a)
    {
        note(a.peer);
        CHECK(!gone_.contains(a.peer));
        LONGS_EQUAL(1, ++submits_.at(a.peer));
    }
    void check(send_described const& a)
    {
        LONGS_EQUAL(1, ++describes_.at(a.peer));
    }
    void check(poll_status const& a) { note(a.upstream.value); }
    void check(set_connections const& a) { note(a.max); }
    void check(report_crash const& a) { note(a.print.value); }

    // Lets everything end; whatever was asked must then have its answer.
    void finish()
    {
        for (int i = 0; i < 100; ++i) {
            now_ += from_ms(10);
            cold_before_ = cold();
            engine_.on_timer(now_, out_);
            check_actions();
            while (!running_.empty()) {
                cold_before_ = cold();
                report();
                check_actions();
            }
        }
        LONGS_EQUAL(0, engine_.in_flight());
        for (auto const& [peer, b] : batches_) {
            CHECK(b.final || gone_.contains(peer));
        }
        for (auto const& [peer, n] : submits_) {
            CHECK(n == 1 || gone_.contains(peer));
        }
        for (auto const& [peer, n] : describes_) {
            CHECK(n == 1 || gone_.contains(peer));
        }
    }

    rng random_;
    owner_engine engine_;
    small_config config_;
    time_point now_{from_ms(1000)};
    owner_actions out_;
    std::uint64_t digest_ = 0;
    std::uint64_t peers_ = 1;
    peer_handle last_peer_ = 0;
    std::map<peer_handle, asked> batches_;
    std::map<peer_handle, int> submits_;
    std::map<peer_handle, int> describes_;
    std::set<peer_handle> gone_;
    std::vector<running> running_;
    std::map<std::uint32_t, std::uint32_t> in_flight_;
    std::map<std::uint32_t, time_point> last_start_;
    std::set<std::uint32_t> cold_before_;
    std::set<std::uint32_t> cold_after_;
};

} // namespace

TEST_GROUP(owner_replay){};

// Guards against any order of batches, answers, failures, cancels, views and
// handovers that exceeds the slots, sends a cold upstream two requests, or
// answers a batch, submit or describe request twice or not at all; and against
// a replay that takes another course with the same seed.
TEST(owner_replay, keeps_limits_and_answers_once)
{
    std::uint64_t dispatched = 0;
    std::uint64_t faults = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        owner_replay first(seed);
        owner_replay second(seed);
        CHECK(first.run() == second.run());
        dispatched += first.dispatched;
        faults += first.faults;
    }
    // The replay must reach the cases that it is there for.
    CHECK(dispatched > 10'000);
    CHECK(faults > 1000);
}
