#include "control_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>

using namespace snipemill;

namespace {

constexpr auto limit = std::chrono::seconds(20);

} // namespace

// Short intervals, so that an outage covers many of them.
TEST_GROUP(host_list)
{
    test::control_world w;
    std::uint16_t const peer_port = test::free_port();
    std::uint16_t const late_port = test::free_port();
    std::uint16_t const new_port = test::free_port();

    void setup() override
    {
        w.settings.host_list.interval = from_ms(400);
        w.settings.membership.dead_probe_interval = from_ms(300);
        w.settings.platform.breaker_open = from_ms(200);
        w.settings.platform.breaker_max = from_ms(400);
        w.hosts = test::host_list({{"peer", peer_port}, {"late", late_port}});
        w.add_peer("peer", peer_port);
        w.start_host();
    }

    std::uint64_t reads() const
    {
        return w.control->status().platform.host_lists;
    }

    bool run_until_routed(std::size_t hosts)
    {
        return w.run_until([&] { return w.routed_hosts() == hosts; }, limit);
    }
};

// Guards against a failed read of the list that empties it, takes the host's
// readiness, members or configuration back, is repeated more often than the
// interval allows, or is the last one.
TEST(host_list, outage_during_later_reads_changes_nothing)
{
    CHECK(run_until_routed(2));
    CHECK(w.ready_within(limit));
    w.platform.reset();
    auto const before = reads();
    auto const begin = core_now();
    CHECK(w.run_until(
        [&] {
            CHECK(w.control->ready());
            CHECK(w.routed_hosts() >= 2);
            LONGS_EQUAL(1, w.control->status().config_number);
            return reads() >= before + 8;
        },
        limit));
    CHECK(!w.control->status().platform_reachable);
    // The jitter takes at most a quarter of the interval; the first read of
    // the outage may come at once.
    auto const& list = w.settings.host_list;
    CHECK(core_now() - begin >= 7 * list.interval * 3 / 4);

    // A host that was listed before the outage is still looked for.
    w.add_peer("late", late_port);
    CHECK(run_until_routed(3));
    CHECK(!w.control->status().platform_reachable);

    // What the list says after the outage is used again.
    w.hosts = test::host_list({{"new", new_port}});
    w.add_peer("new", new_port);
    w.start_platform();
    CHECK(run_until_routed(4));
    CHECK(w.control->ready());
    LONGS_EQUAL(1, w.control->status().config_number);
}
