#include "forward_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::test;

namespace {

constexpr fingerprint lost_print{7};

// The crash entries of the store. Each host that claims a trial creates an
// entry whose name is the same on all hosts.
class crash_store
{
public:
    bool create(crash_entry const& it)
    {
        if (answers_ && holds(it)) {
            return false;
        }
        if (!holds(it)) {
            entries.push_back(it);
        }
        return answers_;
    }
    void remove(crash_entry const& entry)
    {
        std::erase_if(entries, [&](crash_entry const& it) {
            return it.same_crash(entry);
        });
    }
    bool holds(crash_entry const& entry) const
    {
        return std::any_of(
            entries.begin(), entries.end(),
            [&](crash_entry const& it) { return it.same_crash(entry); });
    }
    // Calls are carried out, but their answers are lost.
    void lose_answers() { answers_ = false; }

    std::vector<crash_entry> entries;

private:
    bool answers_ = true;
};

// A host with upstreams of its own that shares crash entries with others.
struct crash_host : forward_fixture
{
    crash_host(crash_store& s, std::string const& name,
               std::size_t services = 1)
        : forward_fixture(services), store(s)
    {
        shared.budget_settings = {.floor = 1000};
        shared.crashes = crash_guard(
            {.host = name,
             .wall_clock_ms =
                 [this] { return now.time_since_epoch().count() / 1000; },
             .on_added = [this](crash_entry const& it) { store.create(it); },
             .on_cleared = [this](crash_entry const& it) { store.remove(it); },
             .claim_trial =
                 [this](crash_entry const& it) { claims.push_back(it); }});
        // A third upstream for each service.
        for (std::size_t i = 0; i < names.size(); ++i) {
            records.push_back({.instance = "c" + std::to_string(i),
                               .service = names[i],
                               .ip = "192.0.2.1",
                               .port = static_cast<std::uint16_t>(100 + i),
                               .data_centre = "a",
                               .slots = 2});
        }
        update();
    }
    // The store answers the claims and shows its entries.
    void sync()
    {
        for (auto const& it : std::exchange(claims, {})) {
            shared.crashes.on_claimed(it, store.create(it), now);
        }
        shared.crashes.set_shared(store.entries, now);
    }
    // Ends the open exchanges from n on as a crash of their upstreams does.
    void crash_from(std::size_t n)
    {
        for (; n < exchanges.all.size(); ++n) {
            auto const instance = exchanges.instance(n);
            if (exchanges.all[n].on_outcome) {
                exchanges.end(n, exchange_lost{});
            }
            for (auto& it : records) {
                it.started_ms += it.instance == instance ? 1 : 0;
            }
        }
        update();
    }
    // All upstreams come back as new processes.
    void restart_all()
    {
        for (auto& it : records) {
            ++it.started_ms;
        }
        update();
    }

    crash_store& store;
    std::vector<crash_entry> claims;
};

} // namespace

TEST_GROUP(crash_trial)
{
    crash_store store;
    crash_host f{store, "h1"};

    forward_route route()
    {
        return f.single_route(idempotency::idempotent);
    }
    // Sends the request; returns whether it has reached an upstream.
    bool reaches_upstream(crash_host & host)
    {
        auto const n = host.exchanges.all.size();
        run_driver run(host, host.single_route(idempotency::idempotent),
                       lost_print);
        host.crash_from(n);
        return host.exchanges.all.size() > n;
    }
    // Three upstreams end while they run the request.
    void lose_three()
    {
        for (int i = 0; i < 8; ++i) {
            reaches_upstream(f);
            f.now += from_ms(100);
        }
        CHECK(f.shared.crashes.verdict(lost_print, f.now) ==
              crash_verdict::refused);
        f.sync();
    }
    void pass(crash_host & host, duration d)
    {
        host.now += d;
        host.sync();
    }
    // Asks until the host may make a trial.
    void wait_for_trial(crash_host & host)
    {
        for (int i = 0; i < 200 && !granted(); ++i) {
            run_driver run(host, route(), lost_print);
            UNSIGNED_LONGS_EQUAL(503, run.status());
            pass(host, from_ms(100));
        }
        CHECK(granted());
    }
    bool granted() const
    {
        return std::any_of(store.entries.begin(), store.entries.end(),
                           [](crash_entry const& it) { return it.trial > 0; });
    }
};

// All upstreams of a service end at once while they run a popular request,
// which had been answered a moment before. Guards against refusing it at all
// hosts.
TEST(crash_trial, a_popular_request_is_not_blamed_for_the_loss_of_its_service)
{
    {
        run_driver run(f, route(), lost_print);
        f.exchanges.end(0, good_answer());
        UNSIGNED_LONGS_EQUAL(200, run.status());
    }
    f.now += from_ms(1000);
    auto const n = f.exchanges.all.size();
    {
        run_driver first(f, route(), lost_print);
        run_driver second(f, route(), lost_print);
        run_driver third(f, route(), lost_print);
        f.crash_from(n);
    }
    f.restart_all();
    CHECK(store.entries.empty());
    run_driver again(f, route(), lost_print);
    f.exchanges.end(f.exchanges.all.size() - 1, good_answer());
    UNSIGNED_LONGS_EQUAL(200, again.status());
}

// Guards against an answer of long ago that makes a request which ends its
// upstreams now count as harmless.
TEST(crash_trial, an_answer_of_long_ago_proves_nothing)
{
    {
        run_driver run(f, route(), lost_print);
        f.exchanges.end(0, good_answer());
    }
    f.now += from_ms(5000);
    lose_three();
}

// Nobody has answered the request before its service is lost. Guards against a
// refusal that lasts although an upstream would answer it.
TEST(crash_trial, a_refused_request_is_tried_again_and_cleared)
{
    lose_three();
    run_driver refused(f, route(), lost_print);
    auto const& answer = std::get<error_answer>(*refused.answer);
    // The time of the trial, not the end of the record.
    CHECK(answer.retry_after <= from_ms(3000));
    CHECK(answer.retry_after >= f.settings.retry_no_upstream);
    wait_for_trial(f);
    auto const n = f.exchanges.all.size();
    run_driver trial(f, route(), lost_print);
    UNSIGNED_LONGS_EQUAL(n + 1, f.exchanges.all.size());
    // Only one request is the trial, and it is not hedged.
    run_driver other(f, route(), lost_print);
    UNSIGNED_LONGS_EQUAL(503, other.status());
    trial.pass(from_ms(90));
    UNSIGNED_LONGS_EQUAL(n + 1, f.exchanges.all.size());
    f.exchanges.end(n, good_answer());
    UNSIGNED_LONGS_EQUAL(200, trial.status());
    CHECK(f.shared.crashes.verdict(lost_print, f.now) == crash_verdict::clear);
    CHECK(store.entries.empty());
}

// Guards against trials that go on ending upstreams.
TEST(crash_trial, a_crashing_request_is_tried_three_times_at_most)
{
    lose_three();
    std::size_t sends = 0;
    for (int i = 0; i < 5000; ++i) {
        sends += reaches_upstream(f) ? 1 : 0;
        pass(f, from_ms(100));
    }
    UNSIGNED_LONGS_EQUAL(3, sends);
}

// Guards against each host making trials of its own.
TEST(crash_trial, all_hosts_together_make_three_trials)
{
    lose_three();
    crash_host second{store, "h2"};
    crash_host third{store, "h3"};
    std::size_t sends = 0;
    for (int i = 0; i < 5000; ++i) {
        for (auto* const it : {&f, &second, &third}) {
            it->now = f.now;
            it->sync();
            sends += reaches_upstream(*it) ? 1 : 0;
        }
        f.now += from_ms(100);
    }
    UNSIGNED_LONGS_EQUAL(3, sends);
}

// Guards against a trial that is lost because the store's answer to the claim
// is, and against a second trial for the same claim.
TEST(crash_trial, a_claim_without_an_answer_counts_when_the_store_shows_it)
{
    lose_three();
    store.lose_answers();
    std::size_t sends = 0;
    for (int i = 0; i < 5000; ++i) {
        sends += reaches_upstream(f) ? 1 : 0;
        pass(f, from_ms(100));
    }
    UNSIGNED_LONGS_EQUAL(3, sends);
}

// Guards against a host that begins anew and takes an earlier claim of its own
// for one that it may use.
TEST(crash_trial, a_restarted_host_does_not_use_an_earlier_claim)
{
    lose_three();
    store.create({.print = lost_print, .trial = 1, .host = "h1"});
    crash_host restarted{store, "h1"};
    restarted.sync();
    run_driver run(restarted, route(), lost_print);
    UNSIGNED_LONGS_EQUAL(503, run.status());
    UNSIGNED_LONGS_EQUAL(0, restarted.exchanges.all.size());
}

// Guards against a trial while no upstream of the service is there, which would
// be used up without a run.
TEST(crash_trial, no_trial_is_claimed_without_an_upstream)
{
    lose_three();
    auto const records = std::exchange(f.records, {});
    f.update();
    for (int i = 0; i < 100; ++i) {
        reaches_upstream(f);
        pass(f, from_ms(100));
    }
    CHECK_FALSE(granted());
}

// Guards against a trial that a refusing upstream uses up by being sent to the
// next one.
TEST(crash_trial, is_sent_to_one_upstream_only)
{
    lose_three();
    wait_for_trial(f);
    auto const n = f.exchanges.all.size();
    run_driver trial(f, route(), lost_print);
    f.exchanges.end(n, shed_answer());
    trial.pass(from_ms(100));
    UNSIGNED_LONGS_EQUAL(n + 1, f.exchanges.all.size());
    UNSIGNED_LONGS_EQUAL(503, trial.status());
}

// Guards against a trial of a query that reaches every shard at once.
TEST(crash_trial, of_a_query_starts_with_one_shard)
{
    crash_host wide{store, "h1", 4};
    for (std::uint32_t i = 0; i < 3; ++i) {
        store.create({.print = lost_print,
                      .upstream = upstream_id(i),
                      .seen_ms = wide.now.time_since_epoch().count() / 1000});
    }
    wide.sync();
    for (int i = 0; i < 200 && !granted(); ++i) {
        run_driver run(wide, wide.gather_route(), lost_print);
        UNSIGNED_LONGS_EQUAL(503, run.status());
        pass(wide, from_ms(100));
    }
    run_driver trial(wide, wide.gather_route(), lost_print);
    UNSIGNED_LONGS_EQUAL(1, wide.exchanges.all.size());
    wide.exchanges.end(0, good_answer("aaaa"));
    UNSIGNED_LONGS_EQUAL(4, wide.exchanges.all.size());
    for (std::size_t i = 1; i < 4; ++i) {
        wide.exchanges.end(i, good_answer("aaaa"));
    }
    UNSIGNED_LONGS_EQUAL(200, trial.status());
    CHECK(store.entries.empty());
}
