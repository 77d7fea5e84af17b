#include "core/forward/route_index.hpp"
#include "core/forward/shard_merge.hpp"
#include "core/forward/weighted_rotation.hpp"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace snipemill;

TEST_GROUP(routing)
{
    manifest state{
        .version = 1,
        .routes = {{.name = "short", .host = "h", .path_prefix = "/a/"},
                   {.name = "long", .host = "h", .path_prefix = "/a/b/"},
                   {.name = "other", .host = "i", .path_prefix = "/"}}};

    std::string find(std::string_view host, std::string_view path)
    {
        auto const* const it = route_index(state).find(host, path);
        return it ? it->name : "none";
    }
};

// Guards against choosing a shorter prefix over a longer one.
TEST(routing, takes_the_longest_prefix)
{
    STRCMP_EQUAL("long", find("h", "/a/b/c").c_str());
    STRCMP_EQUAL("short", find("h", "/a/bc/d").c_str());
    STRCMP_EQUAL("short", find("h", "/a/").c_str());
}

// Guards against a prefix that matches inside a path segment.
TEST(routing, prefixes_end_at_a_slash)
{
    STRCMP_EQUAL("none", find("h", "/a").c_str());
    STRCMP_EQUAL("none", find("h", "/ab/").c_str());
    STRCMP_EQUAL("none", find("h", "").c_str());
    STRCMP_EQUAL("none", find("h", "*").c_str());
    STRCMP_EQUAL("other", find("i", "/anything").c_str());
    STRCMP_EQUAL("none", find("j", "/a/").c_str());
}

// Guards against request counts that drift from the weights over any span of
// requests.
TEST(routing, weights_hold_over_every_span)
{
    weighted_rotation rotation;
    weighted_target const target{.services = {{.service = "x", .weight = 7},
                                              {.service = "y", .weight = 2},
                                              {.service = "z", .weight = 1}}};
    std::array<int, 3> counts{};
    for (int i = 1; i <= 100; ++i) {
        ++counts[rotation.next("r", target)];
        CHECK(std::abs(counts[0] - 0.7 * i) <= 1);
        CHECK(std::abs(counts[1] - 0.2 * i) <= 1);
        CHECK(std::abs(counts[2] - 0.1 * i) <= 1);
    }
}

// Guards against sending requests to a service of weight 0.
TEST(routing, weight_zero_gets_nothing)
{
    weighted_rotation rotation;
    weighted_target const target{.services = {{.service = "x", .weight = 0},
                                              {.service = "y", .weight = 5}}};
    for (int i = 0; i < 20; ++i) {
        UNSIGNED_LONGS_EQUAL(1, rotation.next("r", target));
    }
}

// Guards against dropped duplicates, a wrong order, bytes compared as signed
// values, and an incomplete record that is taken for a whole one.
TEST(routing, merges_the_greatest_records)
{
    std::string const a("\x01\x02\xff\x00zz", 6);
    std::string const b("\xff\x00\x7f\x7f", 4);
    std::string const expected("\xff\x00\xff\x00\x7f\x7f", 6);
    CHECK(expected == merge_shard_answers({a, b}, 2, 3));
    CHECK(merge_shard_answers({a, b}, 2, 10).size() == 10);
    CHECK(merge_shard_answers({}, 2, 10).empty());
}
