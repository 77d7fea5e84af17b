#include "core/base/error.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

TEST_GROUP(name_table){};

// Guards against an error code that has no name on the wire.
TEST(name_table, every_error_code_has_a_distinct_name)
{
    for (int i = 0; i <= static_cast<int>(errc::internal); ++i) {
        auto const ec = static_cast<errc>(i);
        auto const name = to_string(ec);
        CHECK(name != "invalid");
        CHECK(value_of(errc_names, name) == ec);
    }
}

// Guards against a misspelt name being read as some value.
TEST(name_table, unknown_name_has_no_value)
{
    CHECK(!value_of(run_state_names, "maybe").has_value());
}
