#include "core/forward/shard_changes.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

TEST_GROUP(shard_changes){
    static manifest with(std::string const& name, route_target target){
        return {.routes = {{.name = name, .target = std::move(target)}}};
}
}
;

// Guards against estimates of the former shards after a fan-out has grown, and
// against forgetting them with every manifest.
TEST(shard_changes, names_routes_whose_shards_have_changed)
{
    auto const two = with("r", gather_target{.shards = {"a", "b"}});
    auto const three = with("r", gather_target{.shards = {"a", "b", "c"}});
    CHECK(routes_with_other_shards(two, two).empty());
    CHECK(routes_with_other_shards(two, three) ==
          std::vector<std::string>{"r"});
    CHECK(routes_with_other_shards(with("r", single_target{"a"}), two) ==
          std::vector<std::string>{"r"});
    CHECK(routes_with_other_shards(with("q", single_target{"a"}), two).empty());
    CHECK(routes_with_other_shards(two, with("r", single_target{"a"})).empty());
}
