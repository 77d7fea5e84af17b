#include "owned_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::test;

namespace {

constexpr duration step = from_ms(5);

// Long enough for suspicions to end and for owners to become warm.
constexpr duration recovery = from_ms(30'000);

// Requests at an upstream beyond its slots and beyond one for each further
// host, which is what docs/load.md allows while hosts disagree on the owner.
std::uint32_t excess(owned_fleet& f, upstream_id id)
{
    auto const running = f.running(id);
    std::uint32_t sum = 0;
    for (auto const& [host, n] : running) {
        sum += n;
    }
    auto const further =
        static_cast<std::uint32_t>(running.empty() ? 0 : running.size() - 1);
    auto const allowed = f.slots() + further;
    return sum > allowed ? sum - allowed : 0;
}

void run_within_limits(owned_fleet& f, duration d)
{
    for (auto at = duration{}; at < d; at += step) {
        f.run_for(step);
        for (auto const id : f.upstreams()) {
            RC_ASSERT(excess(f, id) == 0U);
        }
    }
}

} // namespace

TEST_GROUP(limit_faults){};

// Guards against an upstream that gets more than its slots, and one for each
// further host, while losses, pauses, deaths, restarts and partitions that
// each occur twice and at the same time make hosts disagree on its owner.
TEST(limit_faults, further_owners_add_at_most_one_request_each)
{
    CHECK(rc::check([] {
        owned_fleet::options const options;
        auto const plan =
            *fault_plans(options.data_centres * options.hosts_each);
        owned_fleet f({.seed = plan.seed});
        // Until the upstreams are warm.
        run_within_limits(f, from_ms(20'000));
        RC_ASSERT(f.most_by_one_host() == f.slots());
        fault_driver faults(plan, f.members());
        while (!faults.done()) {
            faults.apply();
            run_within_limits(f, step);
        }
        faults.apply();
        auto const before = f.dispatched();
        run_within_limits(f, recovery);
        RC_ASSERT(f.dispatched() > before);
    }));
}
