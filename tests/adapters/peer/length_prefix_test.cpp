#include "adapters/peer/length_prefix.hpp"
#include "core/base/rng.hpp"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace snipemill;

TEST_GROUP(length_prefix){};

// Guards against messages that depend on how the network cut the bytes.
TEST(length_prefix, any_cut_gives_the_same_messages)
{
    rng random(7);
    for (int round = 0; round < 200; ++round) {
        std::vector<std::string> messages(random.below(5));
        std::string bytes;
        for (auto& it : messages) {
            it.assign(random.below(20), 'x');
            append_message(bytes, it);
        }
        message_splitter splitter(20);
        std::vector<std::string> got;
        for (std::size_t at = 0; at < bytes.size();) {
            auto const part =
                std::string_view(bytes).substr(at, 1 + random.below(10));
            CHECK(splitter.feed(
                part, [&](std::string m) { got.push_back(std::move(m)); }));
            at += part.size();
        }
        CHECK(got == messages);
        CHECK(!splitter.partial());
    }
}

// Guards against a length that makes the receiver reserve any amount.
TEST(length_prefix, length_above_the_limit_is_refused)
{
    message_splitter splitter(10);
    CHECK(splitter.feed(std::string_view("\0\0\0\x0a", 4), {}));
    CHECK(splitter.partial());
    message_splitter other(9);
    CHECK(!other.feed(std::string_view("\0\0\0\x0a", 4), {}));
}
