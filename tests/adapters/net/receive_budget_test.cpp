#include "adapters/net/receive_budget.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

using namespace snipemill;

TEST_GROUP(receive_budget)
{
    std::shared_ptr<receive_budget> budget =
        std::make_shared<receive_budget>(1000);
    std::vector<int> ended;
    std::vector<std::unique_ptr<receive_budget::share>> shares;

    receive_budget::share& share(int number)
    {
        shares.push_back(std::make_unique<receive_budget::share>(
            budget, [this, number] { ended.push_back(number); }));
        return *shares.back();
    }
};

// Guards against one receiver without end that ends the small ones beside it.
TEST(receive_budget, ends_the_receiver_that_holds_most)
{
    auto& large = share(1);
    auto& small = share(2);
    CHECK(large.add(900));
    CHECK(small.add(50));
    CHECK(small.add(60));
    LONGS_EQUAL(1, ended.size());
    LONGS_EQUAL(1, ended[0]);
    UNSIGNED_LONGS_EQUAL(110, budget->used());
    CHECK_FALSE(large.add(950));
    LONGS_EQUAL(1, ended.size());
    UNSIGNED_LONGS_EQUAL(110, budget->used());
    UNSIGNED_LONGS_EQUAL(2, budget->ended());
}

// Guards against many receivers that each hold little and together more than
// the limit.
TEST(receive_budget, holds_for_all_receivers_together)
{
    for (int i = 0; i < 100; ++i) {
        auto& it = share(i);
        for (int n = 0; n < 5; ++n) {
            static_cast<void>(it.add(20));
            CHECK(budget->used() <= 1000);
        }
    }
    CHECK(ended.size() >= 50);
}

TEST(receive_budget, a_receiver_that_is_destroyed_holds_nothing)
{
    CHECK(share(1).add(400));
    shares.clear();
    UNSIGNED_LONGS_EQUAL(0, budget->used());
}
