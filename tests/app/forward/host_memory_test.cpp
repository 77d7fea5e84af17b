#include "app/forward/host_memory.hpp"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace snipemill;

namespace {

constexpr std::size_t mb = 1024 * 1024;

std::vector<std::shared_ptr<receive_budget>> kinds_of(host_memory const& it)
{
    return {it.callers,       it.readiness,       it.upstreams, it.store,
            it.relay_queries, it.relayed_queries, it.metrics};
}

} // namespace

TEST_GROUP(host_memory){};

// Guards against bounds for the kinds of peers that add up to more than the
// memory of the host.
TEST(host_memory, all_peers_together_hold_at_most_half_of_the_memory)
{
    constexpr std::size_t memory = 160 * mb;
    host_memory const budgets(memory);
    std::vector<std::unique_ptr<receive_budget::share>> shares;
    for (int round = 0; round < 200; ++round) {
        for (auto const& it : kinds_of(budgets)) {
            shares.push_back(
                std::make_unique<receive_budget::share>(it, [] {}));
            CHECK(shares.back()->hold(mb));
        }
        std::size_t used = 0;
        for (auto const& it : kinds_of(budgets)) {
            used += it->used();
        }
        CHECK(used <= memory / 2);
    }
    // Each kind holds at least what is reserved for it.
    CHECK(budgets.callers->used() >= 14 * mb);
    CHECK(budgets.readiness->used() >= 2 * mb);
    CHECK(budgets.upstreams->used() >= 14 * mb);
    CHECK(budgets.store->used() >= 9 * mb);
}

// Guards against other bounds than before where the memory is not known.
TEST(host_memory, has_constant_limits_when_the_memory_is_not_known)
{
    host_memory const budgets(0);
    for (auto const& it : kinds_of(budgets)) {
        UNSIGNED_LONGS_EQUAL(it == budgets.store ? 16 * mb : 32 * mb,
                             it->limit());
    }
}
