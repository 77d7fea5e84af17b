#include "core/quarantine/crash_bursts.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

namespace {

constexpr time_point start{from_ms(5000)};

} // namespace

TEST_GROUP(crash_bursts){};

// Guards against a new record that waits for the next probe, and against one
// that is sent twice.
TEST(crash_bursts, new_record_is_sent_at_once)
{
    crash_bursts bursts({});
    CHECK(bursts.take(start).empty());
    bursts.add(fingerprint(7));
    bursts.add(fingerprint(7));
    auto const sent = bursts.take(start);
    LONGS_EQUAL(1, sent.size());
    CHECK(sent[0] == fingerprint(7));
    CHECK(bursts.take(start).empty());
}

// Guards against a flood of datagrams when many requests crash upstreams, and
// against records that are lost for it.
TEST(crash_bursts, rate_is_bounded_and_the_rest_goes_together_later)
{
    crash_bursts bursts({.per_second = 2, .max_records = 3});
    std::vector<fingerprint> late;
    for (std::uint64_t i = 0; i < 6; ++i) {
        bursts.add(fingerprint(i));
        auto const sent = bursts.take(start + from_ms(static_cast<int>(i)));
        LONGS_EQUAL(i < 2 ? 1 : 0, sent.size());
    }
    CHECK(bursts.take(start + from_ms(999)).empty());
    auto const sent = bursts.take(start + from_ms(1000));
    LONGS_EQUAL(3, sent.size());
    CHECK(sent[0] == fingerprint(2) && sent[2] == fingerprint(4));
    LONGS_EQUAL(1, bursts.take(start + from_ms(1001)).size());
    bursts.add(fingerprint(9));
    CHECK(bursts.take(start + from_ms(1999)).empty());
}

// Guards against records that pile up while none may be sent.
TEST(crash_bursts, waiting_records_are_bounded)
{
    crash_bursts off({.per_second = 0});
    off.add(fingerprint(1));
    CHECK(off.take(start).empty());

    crash_bursts bursts({.per_second = 1000});
    for (std::uint64_t i = 0; i < 1000; ++i) {
        bursts.add(fingerprint(i));
    }
    std::size_t sent = 0;
    for (auto n = bursts.take(start).size(); n > 0;
         n = bursts.take(start).size()) {
        sent += n;
    }
    LONGS_EQUAL(64, sent);
}
