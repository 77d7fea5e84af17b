#include "adapters/codec/floor_codec.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

TEST_GROUP(floor_codec){};

TEST(floor_codec, keeps_every_field)
{
    floor_message const message{
        .floor = {.revision = 530, .floors = {1, 2, 530, 4}, .age = from_ms(7)},
        .pass_on = true};
    auto const out = decode_floor(encode(message));
    CHECK(out.has_value());
    UNSIGNED_LONGS_EQUAL(530, out->floor.revision);
    CHECK(out->floor.floors == message.floor.floors);
    CHECK(out->floor.age == from_ms(7));
    CHECK(out->pass_on);
}

// Guards against floors taken from a datagram that is cut or none of ours.
TEST(floor_codec, refuses_what_is_no_floor)
{
    auto const bytes = encode(
        floor_message{.floor = {.revision = 530, .floors = {1, 2, 530, 4}}});
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK_FALSE(decode_floor(bytes.substr(0, n)).has_value());
    }
    CHECK_FALSE(decode_floor("GET / HTTP/1.1").has_value());
    CHECK_FALSE(decode_floor(std::string(100, '\0')).has_value());
}
