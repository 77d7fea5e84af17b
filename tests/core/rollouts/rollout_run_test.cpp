#include "rollout_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::test;

namespace {

// Chance from the hash of a running number, so that models need no generator.
struct chance
{
    rng random{7};
    bool operator()(double p) { return random.unit() < p; }
};

void check_rolled_back(rollout_fixture& f)
{
    LONGS_EQUAL(static_cast<int>(rollout_state::rolled_back),
                static_cast<int>(f.state()));
    CHECK(f.ended_at && *f.ended_at <= f.entry().time_limit);
    CHECK(static_cast<double>(f.target_requests) <= f.limit());
    if (f.bad_50th) {
        CHECK(*f.last_target <= *f.bad_50th + f.bounds.roll_back_within);
    }
}

void check_succeeded(rollout_fixture& f)
{
    LONGS_EQUAL(static_cast<int>(rollout_state::succeeded),
                static_cast<int>(f.state()));
    CHECK(f.ended_at && *f.ended_at <= f.entry().time_limit);
    LONGS_EQUAL(0, f.lost);
}

} // namespace

TEST_GROUP(rollout_run)
{
    chance random;
};

// Guards against a good version that is not in use within its time limit, and
// against requests to old upstreams after these have stopped. Loads from a few
// requests a second to many; latencies of the old version with pauses.
TEST(rollout_run, good_version_succeeds_in_time)
{
    for (auto const rate : {4.0, 10.0, 60.0, 400.0}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            rollout_fixture f({.rate = rate, .seed = seed});
            auto const pauses = [&](sample_request const& it) {
                bool const paused = it.elapsed % from_ms(4500) < from_ms(250);
                return sample_answer{.failed = random(0.002),
                                     .slower = paused ? 4.0 : 1.0};
            };
            f.model = pauses;
            f.old_model = pauses;
            f.run_out();
            check_succeeded(f);
            CHECK(f.last_target.has_value());
        }
    }
}

// Guards against a version that is bad at once and gets more than the canary
// limit, or is used for too long.
TEST(rollout_run, version_bad_at_once)
{
    for (auto const rate : {10.0, 60.0, 400.0}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            rollout_fixture f({.rate = rate, .seed = seed});
            f.model = [&](auto const&) {
                return sample_answer{.failed = random(0.3)};
            };
            f.run_out();
            check_rolled_back(f);
        }
    }
}

// Guards against judging a version by its first requests.
TEST(rollout_run, version_bad_late)
{
    for (auto const rate : {10.0, 60.0, 400.0}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            rollout_fixture f({.rate = rate, .seed = seed});
            f.model = [&](sample_request const& it) {
                return sample_answer{.failed = it.elapsed > from_ms(7000) &&
                                               random(0.4)};
            };
            f.run_out();
            check_rolled_back(f);
        }
    }
}

// Guards against a canary share that is spread so thinly that no upstream of
// the new version sees its usual load.
TEST(rollout_run, version_bad_under_load)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        rollout_fixture f({.rate = 60, .seed = seed});
        f.model = [&](sample_request const& it) {
            return sample_answer{.failed = it.load > 7 && random(0.5)};
        };
        f.run_out();
        check_rolled_back(f);
    }
}

// Guards against sums over all routes in which a bad route vanishes.
TEST(rollout_run, version_bad_on_one_route)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        rollout_fixture f({.rate = 60, .seed = seed});
        f.model = [&](sample_request const& it) {
            return sample_answer{.failed = it.route == "rare" && random(0.6)};
        };
        f.run_out();
        check_rolled_back(f);
    }
}

// Guards against a judgement by failures only.
TEST(rollout_run, slow_version)
{
    for (auto const rate : {10.0, 60.0, 400.0}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            rollout_fixture f({.rate = rate, .seed = seed});
            f.model = [&](auto const&) {
                return sample_answer{.slower = random(0.4) ? 4.0 : 1.0};
            };
            f.run_out();
            check_rolled_back(f);
        }
    }
}

// Guards against a rollout that ends with its deciding host.
TEST(rollout_run, deciding_host_dies)
{
    for (std::int64_t at = 500; at < 12'000; at += 1500) {
        for (bool const good : {true, false}) {
            rollout_fixture f({});
            f.model = [&](sample_request const& it) {
                return sample_answer{.failed = !good &&
                                               it.elapsed > from_ms(3000) &&
                                               random(0.4)};
            };
            f.run_to(from_ms(at));
            if (f.decider()) {
                f.decider()->alive = false;
            }
            f.run_out();
            if (good && at < 10'000) {
                check_succeeded(f);
            }
            else if (!good) {
                check_rolled_back(f);
            }
        }
    }
}

// Guards against requests to a bad version while the store cannot be told.
TEST(rollout_run, store_is_away_when_a_rollback_is_due)
{
    rollout_fixture f({});
    f.model = [&](sample_request const& it) {
        return sample_answer{.failed =
                                 it.elapsed > from_ms(3000) && random(0.5)};
    };
    f.run_to(from_ms(2500));
    f.store_up = false;
    f.run_to(from_ms(10'000));
    CHECK(f.state() == rollout_state::running);
    CHECK(*f.last_target < from_ms(8000));
    f.store_up = true;
    f.run_out();
    check_rolled_back(f);
}

// Guards against two deciding hosts: the first is cut off from the others but
// not from the store, or frozen and awake again.
TEST(rollout_run, two_hosts_believe_that_they_decide)
{
    for (bool const freeze : {true, false}) {
        rollout_fixture f({});
        f.model = [&](sample_request const& it) {
            return sample_answer{.failed =
                                     it.elapsed > from_ms(5000) && random(0.4)};
        };
        f.run_to(from_ms(3000));
        auto& first = *f.decider();
        first.frozen = freeze;
        first.reaches_hosts = false;
        first.reaches_store = false;
        f.run_to(from_ms(6000));
        LONGS_EQUAL(2, f.deciders());
        first.frozen = false;
        first.reaches_hosts = true;
        f.run_to(from_ms(7000));
        LONGS_EQUAL(1, f.deciders());
        CHECK(!first.run->deciding());
        first.reaches_store = true;
        f.run_out();
        check_rolled_back(f);
    }
}

// Guards against a host that starts in the middle of a rollout, takes both
// versions for the one in use and divides its requests evenly.
TEST(rollout_run, host_restarts_in_the_middle)
{
    for (std::size_t i = 0; i < 7; ++i) {
        rollout_fixture f({.rate = 100});
        f.run_to(from_ms(4000));
        auto const before = f.target_requests;
        f.restart(*f.hosts[i]);
        STRCMP_EQUAL("v1", f.hosts[i]->policy.in_use("s").c_str());
        f.run_to(from_ms(8000));
        CHECK(f.target_requests - before < 100);
        f.run_out();
        check_succeeded(f);
    }
}

// Guards against a status that a call without an answer writes seconds later,
// after another host has taken over.
TEST(rollout_run, writes_are_executed_late)
{
    rollout_fixture f({.time_limit = from_ms(20'000)});
    f.store_delays_writes = true;
    f.run_to(from_ms(5000));
    f.store_delays_writes = false;
    f.run_to(from_ms(9000));
    LONGS_EQUAL(1, f.deciders());
    f.run_out();
    check_succeeded(f);
}

// A store is restored from a copy that lacks the status, or has an older one.
// Guards against a rollback that is forgotten, and against a rollout that
// stops because its deciding host no longer finds its token.
TEST(rollout_run, store_restored_from_an_older_copy)
{
    for (bool const good : {true, false}) {
        for (std::int64_t const at : {3000, 6000}) {
            rollout_fixture f({});
            f.model = [&](auto const&) {
                return sample_answer{.failed = !good && random(0.4)};
            };
            auto const copy = f.entry();
            f.run_to(from_ms(at));
            auto const target = f.target_requests;
            f.restore(copy);
            f.run_out();
            if (good) {
                check_succeeded(f);
            }
            else {
                check_rolled_back(f);
                CHECK(at == 3000 || f.target_requests == target);
            }
        }
    }
}
