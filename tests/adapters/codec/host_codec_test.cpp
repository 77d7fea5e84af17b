#include "adapters/codec/host_codec.hpp"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <cstddef>
#include <string>

using namespace snipemill;

namespace {

floor_message const floor_sample{
    .floor = {.revision = 530, .floors = {1, 2, 530, 4}, .age = from_ms(7)},
    .pass_on = true};
cap_request const request_sample{.account = "acme",
                                 .host = "host-3",
                                 .number = 1ULL << 40U,
                                 .wanted = 3,
                                 .as_deputy = true};
cap_grant const grant_sample{.account = "acme",
                             .host = "host-4",
                             .number = 1ULL << 40U,
                             .outcome = cap_outcome::over_cap,
                             .room_after = from_ms(210),
                             .retry_after = from_ms(410),
                             .interval = from_ms(200)};
rollout_report report_of_one_route()
{
    route_counts it{.route = "r",
                    .previous = {.sent = 40, .ended = 39, .failed = 1},
                    .target = {.sent = 7, .ended = 7, .failed = 3}};
    it.previous.latencies.counts[17] = 38;
    it.target.latencies.counts[63] = 4;
    return {.host = "host-4",
            .incarnation = 1ULL << 60U,
            .service = "prices",
            .target_version = "v2",
            .share = 0.125,
            .routes = {it}};
}

rollout_report const report_sample = report_of_one_route();
rollout_instruction const instruction_sample{.service = "prices",
                                             .target_version = "v2",
                                             .token = 3,
                                             .number = 90,
                                             .state =
                                                 rollout_state::rolled_back,
                                             .share = 0.5,
                                             .decider = "host-4/17"};

} // namespace

TEST_GROUP(host_codec){template <class T> T passed_on(T const& message){
    auto const out = decode_host_message(encode(message));
CHECK(out.has_value());
CHECK(std::holds_alternative<T>(*out));
return std::get<T>(*out);
}
}
;

TEST(host_codec, keeps_every_field_of_a_floor)
{
    auto const out = passed_on(floor_sample);
    UNSIGNED_LONGS_EQUAL(530, out.floor.revision);
    CHECK(out.floor.floors == floor_sample.floor.floors);
    CHECK(out.floor.age == from_ms(7));
    CHECK(out.pass_on);
}

// Guards against floors that are compared across a restore of the store.
TEST(host_codec, a_floor_carries_the_era)
{
    auto const out =
        passed_on(floor_message{.floor = {.era = 3, .revision = 530}});
    UNSIGNED_LONGS_EQUAL(3, out.floor.era);
    UNSIGNED_LONGS_EQUAL(0, passed_on(floor_sample).floor.era);
}

// Guards against a grant that is taken for another request, and against a
// request for more than was wanted.
TEST(host_codec, keeps_every_field_of_cap_messages)
{
    CHECK(passed_on(request_sample) == request_sample);
    CHECK(passed_on(grant_sample) == grant_sample);
    cap_grant const granted{
        .account = "acme", .host = "host-4", .number = 7, .granted = 2};
    CHECK(passed_on(granted) == granted);
    cap_request const contact{
        .account = "acme", .host = "host-4", .number = 7, .as_deputy = true};
    CHECK(passed_on(contact) == contact);
    cap_grant const answer{.account = "acme",
                           .host = "host-4",
                           .number = 7,
                           .outcome = cap_outcome::contact,
                           .room_after = from_ms(5)};
    CHECK(passed_on(answer) == answer);
}

TEST(host_codec, keeps_every_field_of_a_rollout_report)
{
    CHECK(passed_on(report_sample) == report_sample);
    CHECK(passed_on(instruction_sample) == instruction_sample);
}

// Guards against floors taken from a datagram that is cut or none of ours.
TEST(host_codec, refuses_what_is_no_message)
{
    for (host_message const& it :
         {host_message(floor_sample), host_message(request_sample),
          host_message(grant_sample), host_message(report_sample),
          host_message(instruction_sample)}) {
        auto const bytes = encode(it);
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            CHECK_FALSE(decode_host_message(bytes.substr(0, n)).has_value());
        }
    }
    CHECK_FALSE(decode_host_message("GET / HTTP/1.1").has_value());
    CHECK_FALSE(decode_host_message(std::string(100, '\0')).has_value());
}

// Guards against grants and requests whose fields cannot be used.
TEST(host_codec, refuses_fields_out_of_range)
{
    auto const refused = [](auto change) {
        auto request = request_sample;
        auto grant = grant_sample;
        change(request, grant);
        return !decode_host_message(encode(request)) ||
               !decode_host_message(encode(grant));
    };
    CHECK(refused([](auto& it, auto&) { it.account.clear(); }));
    CHECK(refused([](auto& it, auto&) { it.account.assign(2000, 'a'); }));
    CHECK(refused([](auto& it, auto&) { it.host.clear(); }));
    CHECK(refused([](auto& it, auto&) { it.number = 0; }));
    CHECK(refused([](auto&, auto& it) {
        it.outcome = cap_outcome::contact;
        it.granted = 1;
    }));
    CHECK(refused([](auto&, auto& it) { it.number = 0; }));
    CHECK(refused(
        [](auto&, auto& it) { it.outcome = static_cast<cap_outcome>(9); }));
    CHECK(refused([](auto&, auto& it) { it.granted = 1; }));
    CHECK(refused([](auto&, auto& it) { it.outcome = cap_outcome::granted; }));
    CHECK(refused(
        [](auto&, auto& it) { it.retry_after = from_ms(100'000'000); }));
    auto floor = floor_sample;
    floor.floor.revision = 0;
    CHECK_FALSE(decode_host_message(encode(floor)).has_value());
    auto report = report_sample;
    report.routes.resize(300);
    CHECK_FALSE(decode_host_message(encode(report)).has_value());
    report = report_sample;
    report.routes[0].target.failed = 8;
    CHECK_FALSE(decode_host_message(encode(report)).has_value());
    auto instruction = instruction_sample;
    instruction.share = 1.5;
    CHECK_FALSE(decode_host_message(encode(instruction)).has_value());
    instruction.share = std::nan("");
    CHECK_FALSE(decode_host_message(encode(instruction)).has_value());
    instruction = instruction_sample;
    instruction.token = 0;
    CHECK_FALSE(decode_host_message(encode(instruction)).has_value());
}
