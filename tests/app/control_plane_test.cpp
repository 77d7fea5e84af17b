#include "control_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>

using namespace snipemill;
using namespace snipemill::test;

namespace {

member_info member(std::uint32_t number)
{
    return {.id = host_id("host-" + std::to_string(number)),
            .data_centre = "colombo",
            .ip = "127.0.0.1",
            .peer_port = 1,
            .operator_port = 1,
            .incarnation = 1,
            .state = member_state::alive};
}

} // namespace

TEST_GROUP(control_plane)
{
    host_settings settings{.name = "self", .data_centre = "colombo"};
    event_log events{"self", 16};
    no_lanes lanes;
};

// Guards against a start whose cost grows with the square of the fleet: the
// whole member list was copied for each host that became known.
TEST(control_plane, members_that_appear_together_are_passed_on_together)
{
    constexpr std::uint32_t hosts = 480;
    constexpr std::uint32_t per_message = 8;
    control_plane control(settings, events, lanes, 1);
    auto const port = free_port();
    auto const begin = core_now();
    control.start(port, 1);
    probe_socket peer(control.io(), "127.0.0.1", free_port(), core_now,
                      [](probe_packet const&) {});
    auto const end =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (control.status().members.size() < hosts &&
           std::chrono::steady_clock::now() < end) {
        // Datagrams can be lost, so all are sent again until all are known.
        for (std::uint32_t i = 0; i < hosts; i += per_message) {
            probe_message message{.kind = probe_kind::ack, .from = member(i)};
            for (std::uint32_t k = 1; k < per_message; ++k) {
                message.updates.push_back(member(i + k));
            }
            peer.send("127.0.0.1", port,
                      {.time = events.stamp(), .message = std::move(message)});
            control.io().poll();
        }
        control.io().run_for(std::chrono::milliseconds(10));
    }
    LONGS_EQUAL(hosts, control.status().members.size());
    control.io().run_for(std::chrono::milliseconds(150));

    auto const status = control.status();
    CHECK(status.member_lists > 0);
    auto const most = (core_now() - begin) / from_ms(50) + 1;
    CHECK(status.member_lists <= static_cast<std::uint64_t>(most));
}
