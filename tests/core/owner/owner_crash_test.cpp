#include "core/owner/survived_prints.hpp"
#include "core/quarantine/quarantine.hpp"
#include "owner_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

namespace {

constexpr fingerprint common{11}; // of batch_of(), which warm_up() sends
constexpr fingerprint crashing{99};

query_batch batch_of_print(std::vector<std::uint32_t> const& targets,
                           fingerprint print)
{
    auto b = batch_of(targets);
    b.print = print;
    return b;
}

// Resets every request that has been dispatched.
void reset_all(owner_bench& b)
{
    auto const sent = b.all<dispatch_query>();
    b.out.clear();
    for (auto const& it : sent) {
        b.fail(it.handle, sub_outcome::reset);
    }
}

std::size_t crashes_of(owner_bench const& b, fingerprint print)
{
    std::size_t n = 0;
    for (auto const& it : b.all<report_crash>()) {
        n += it.print == print ? 1 : 0;
    }
    return n;
}

} // namespace

TEST_GROUP(owner_crash){};

// Guards against a common query that is put into quarantine because all
// upstreams restarted while it was in flight.
TEST(owner_crash, answered_query_is_no_suspect_when_upstreams_restart)
{
    owner_bench b;
    b.warm_up({});
    b.batch(1, batch_of({1, 2, 3}));
    b.batch(2, batch_of({1, 2, 3}));
    b.wait(from_ms(1));
    LONGS_EQUAL(6, b.all<dispatch_query>().size());
    reset_all(b);
    LONGS_EQUAL(0, b.all<report_crash>().size());
    CHECK(b.gauge(1).condition == upstream_condition::cold);
}

// Guards against a query that crashes each upstream that runs it, and takes
// down more than two of them because other queries were in flight too or were
// answered before.
TEST(owner_crash, crashing_query_is_a_suspect_at_each_upstream)
{
    owner_bench b;
    quarantine records({});
    b.warm_up({});
    int lost = 0;
    for (std::uint32_t id = 1; id <= 3; ++id) {
        b.batch(id, batch_of({id}));
        b.batch(10 + id, batch_of_print({id}, crashing));
        b.wait(from_ms(1));
        auto const ran = b.all<dispatch_query>().size() == 2;
        lost += ran ? 1 : 0;
        LONGS_EQUAL(ran ? 2 : 1, b.all<dispatch_query>().size());
        if (!ran) {
            break;
        }
        reset_all(b);
        LONGS_EQUAL(1, crashes_of(b, crashing));
        LONGS_EQUAL(0, crashes_of(b, common));
        for (auto const& it : b.all<report_crash>()) {
            records.on_crash(b.now, it.print, it.upstream);
        }
        b.engine.set_quarantine(records.refused_prints(b.now));
        b.out.clear();
    }
    LONGS_EQUAL(2, lost);
}

// Guards against an old answer that excuses a query after the upstream has
// come back as another program.
TEST(owner_crash, answer_from_before_a_restart_does_not_count_after_it)
{
    owner_bench b;
    b.warm_up({});
    b.batch(1, batch_of({1}));
    reset_all(b);
    LONGS_EQUAL(0, b.all<report_crash>().size());
    b.wait(from_ms(30));
    b.batch(2, batch_of({1}));
    reset_all(b);
    LONGS_EQUAL(1, crashes_of(b, common));
}

// Guards against an answer at one index version that excuses a query which
// crashes upstreams at the next one.
TEST(owner_crash, answer_at_another_version_does_not_count)
{
    owner_bench b;
    b.warm_up({});
    auto next = batch_of({1});
    next.version = index_version(8);
    b.batch(1, next);
    reset_all(b);
    LONGS_EQUAL(1, crashes_of(b, common));
}

// Guards against an answer from before another host owned the upstream.
TEST(owner_crash, answer_from_before_a_change_of_owner_does_not_count)
{
    owner_bench b;
    b.warm_up({.upstreams = 1});
    b.batch(1, batch_of({1}));
    b.view({.upstreams = 1}, {"b"});
    b.view({.upstreams = 1});
    auto const old = b.all<dispatch_query>()[0].handle;
    b.wait(from_ms(30));
    b.fail(old, sub_outcome::cancelled);
    b.out.clear();
    b.wait(from_ms(30));
    b.batch(2, batch_of({1}));
    LONGS_EQUAL(1, b.all<dispatch_query>().size());
    reset_all(b);
    LONGS_EQUAL(1, crashes_of(b, common));
}

// Guards against a record that grows without bound.
TEST(owner_crash, oldest_answered_fingerprint_is_forgotten)
{
    survived_prints prints;
    time_point const start{from_ms(1000)};
    index_version const version(7);
    for (std::uint64_t i = 1; i <= 65; ++i) {
        prints.on_answer(fingerprint(i), version, start);
    }
    CHECK(!prints.contains(fingerprint(1), version, start));
    CHECK(prints.contains(fingerprint(2), version, start));
    CHECK(prints.contains(fingerprint(65), version, start));
}
