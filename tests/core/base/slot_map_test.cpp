#include "core/base/slot_map.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace snipemill;

TEST_GROUP(slot_map){};

// Guards against a late message reaching the request that reused its slot.
TEST(slot_map, old_handle_does_not_find_the_next_value_of_its_slot)
{
    slot_map<std::string> map;
    auto const first = map.insert("first");
    map.erase(first);
    auto const second = map.insert("second");

    CHECK_EQUAL(first.index, second.index);
    CHECK(map.find(first) == nullptr);
    CHECK(*map.find(second) == "second");
}

// Guards against a default handle being taken for the first slot.
TEST(slot_map, default_handle_finds_nothing)
{
    slot_map<int> map;
    map.insert(1);
    CHECK(map.find(slot_handle{}) == nullptr);
}

// Guards against a wrong count after slots are reused.
TEST(slot_map, size_counts_live_values)
{
    slot_map<int> map(4);
    auto const a = map.insert(1);
    map.insert(2);
    map.erase(a);
    LONGS_EQUAL(1, map.size());
    map.insert(3);
    LONGS_EQUAL(2, map.size());
}

// Guards against handles that change on the way through a 64-bit field.
TEST(slot_map, packed_handle_survives)
{
    slot_handle const h{.index = 7, .generation = 0xfffffff0U};
    CHECK(slot_handle::unpack(h.packed()) == h);
}
