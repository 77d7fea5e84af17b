#include "adapters/net/receive_budget.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <thread>
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
        return share(budget, number);
    }
    receive_budget::share& share(std::shared_ptr<receive_budget> const& of,
                                 int number)
    {
        shares.push_back(std::make_unique<receive_budget::share>(
            of, [this, number] { ended.push_back(number); }));
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

// Guards against ending an ordinary request because it is somewhat larger than
// those that have held their memory for long.
TEST(receive_budget, ends_the_receiver_that_has_held_its_part_for_longest)
{
    auto& old = share(1);
    CHECK(old.hold(400));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    auto& young = share(2);
    CHECK(young.hold(500));
    CHECK(share(3).hold(200));
    LONGS_EQUAL(1, ended.size());
    LONGS_EQUAL(1, ended[0]);
}

// Guards against a crowd of one kind of peer that takes the memory of another.
TEST(receive_budget, a_kind_within_its_reserved_part_is_not_ended)
{
    auto const crowd =
        std::make_shared<receive_budget>(budget, budget->limit(), 200);
    auto const others =
        std::make_shared<receive_budget>(budget, budget->limit(), 400);
    auto& large = share(others, 1);
    CHECK(large.hold(400));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    for (int i = 2; i < 30; ++i) {
        CHECK(share(crowd, i).hold(100));
        CHECK(budget->used() <= budget->limit());
    }
    UNSIGNED_LONGS_EQUAL(400, others->used());
    UNSIGNED_LONGS_EQUAL(600, crowd->used());
    UNSIGNED_LONGS_EQUAL(22, crowd->ended());
    UNSIGNED_LONGS_EQUAL(0, others->ended());
}

// Guards against a kind of peer that takes more than its own limit while the
// others need nothing.
TEST(receive_budget, a_kind_keeps_its_own_limit)
{
    auto const kind = std::make_shared<receive_budget>(budget, 300, 0);
    CHECK(share(kind, 1).hold(200));
    CHECK(share(kind, 2).hold(150));
    LONGS_EQUAL(1, ended.size());
    UNSIGNED_LONGS_EQUAL(150, budget->used());
}
