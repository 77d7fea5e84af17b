#include "control_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>

using namespace snipemill;

// The configuration is there at once, so that only the joining decides when
// the host is ready.
TEST_GROUP(control_start)
{
    test::control_world w;
    std::uint16_t const peer_port = test::free_port();

    void know_peer()
    {
        w.settings.seeds = {{.data_centre = "kelaniya",
                             .ip = "127.0.0.1",
                             .peer_port = peer_port}};
    }
};

// Guards against a host that accepts queries before its routing knows the
// peer that its seed leads to.
TEST(control_start, ready_host_routes_to_the_peer_of_its_settings)
{
    know_peer();
    w.add_peer("peer", peer_port, std::chrono::milliseconds(200));
    w.start_host();
    CHECK(w.ready_within(std::chrono::seconds(10)));
    LONGS_EQUAL(2, w.routed_hosts());
}

// Guards against the same with a peer that only the platform lists.
TEST(control_start, ready_host_routes_to_the_peer_of_the_platforms_list)
{
    w.hosts = test::host_list({{"peer", peer_port}});
    w.add_peer("peer", peer_port, std::chrono::milliseconds(200));
    w.start_host();
    CHECK(w.ready_within(std::chrono::seconds(10)));
    LONGS_EQUAL(2, w.routed_hosts());
}

// Guards against a single host that waits for others.
TEST(control_start, host_without_seeds_is_ready_at_once)
{
    w.start_host();
    CHECK(w.ready_within(std::chrono::seconds(1)));
    LONGS_EQUAL(1, w.routed_hosts());
}

// Guards against a host that a lost fleet keeps from serving, and against a
// change of members that takes readiness back.
TEST(control_start, host_whose_peers_do_not_answer_is_ready_and_stays_so)
{
    know_peer();
    w.start_host();
    CHECK(!w.ready_within(std::chrono::milliseconds(500)));
    CHECK(w.ready_within(std::chrono::seconds(10)));
    LONGS_EQUAL(1, w.routed_hosts());
    w.add_peer("peer", peer_port);
    CHECK(w.run_until(
        [&] {
            CHECK(w.control->ready());
            return w.routed_hosts() == 2;
        },
        std::chrono::seconds(10)));
}

// Guards against a platform that does not answer and so delays a host whose
// peer does.
TEST(control_start, unanswered_host_list_does_not_delay_a_host_with_peers)
{
    w.hosts.clear();
    w.settings.platform.call_timeout = from_ms(30'000);
    know_peer();
    w.add_peer("peer", peer_port);
    w.start_host();
    CHECK(w.ready_within(std::chrono::seconds(5)));
    LONGS_EQUAL(2, w.routed_hosts());
}

// Guards against a host that waits for a list that the platform cannot give.
TEST(control_start, malformed_host_list_does_not_delay_a_single_host)
{
    w.hosts = "malformed";
    w.start_host();
    CHECK(w.ready_within(std::chrono::seconds(1)));
}
