#include "adapters/codec/config_json.hpp"
#include "adapters/platform/platform_client.hpp"
#include "adapters/platform/platform_json.hpp"
#include "testbed/fleet.hpp"
#include "testbed/submit_load.hpp"

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace snipemill;
using namespace testbed;

namespace {

std::string const group = "stores-desk";

// Hosts list one part at each tick of 50 ms at most, so that six hosts read
// all 4,096 parts in about 35 s. 26 h is the shortest age that is accepted.
fleet_options removal_fleet()
{
    return {.services = 2,
            .upstream_arguments = {"--latency-ms", "2"},
            .host_settings = "claims: {age_hours: 26, list_interval_ms: 50, "
                             "sweep_interval_ms: 1}\n"};
}

// The key of the first request of a load with this prefix.
std::string key_of(std::string const& prefix)
{
    return claim_key(group, prefix + "-0");
}

// A prefix whose key is in one fixed part of the claims, which one listing
// reads.
std::string prefix_in_part(std::string const& name)
{
    for (int i = 0;; ++i) {
        auto out = name + std::to_string(i);
        if (key_of(out).starts_with("claims/" + group + "/400")) {
            return out;
        }
    }
}

std::optional<std::string> read_object(fleet& f, std::string const& prefix)
{
    return http_request_body(f.platform_port(), "GET",
                             "/objects/" + percent_encode(key_of(prefix)));
}

// Writes a finished claim that was created this long ago.
void write_finished(fleet& f, std::string const& prefix, std::chrono::hours age)
{
    auto const created = std::chrono::duration_cast<std::chrono::milliseconds>(
        (std::chrono::system_clock::now() - age).time_since_epoch());
    claim const value{.nonce = "earlier",
                      .state = claim_state::done,
                      .answer = {.body = "{}"},
                      .created = static_cast<std::uint64_t>(created.count())};
    boost::asio::io_context io;
    platform_client client(io, {.port = f.platform_port()}, {});
    auto written = false;
    client.put(key_of(prefix), write_claim(value), 0,
               [&](platform_result<platform_object> const& result) {
                   written = std::holds_alternative<platform_object>(result);
                   io.stop();
               });
    io.run();
    CHECK(written);
}

submit_sample send(fleet& f, std::string const& prefix)
{
    return run_submits(
        {.targets = f.caller_targets(), .prefix = prefix, .keys = 1})[0];
}

} // namespace

TEST_GROUP(claim_removal_process){};

// Guards against claims that are kept for ever, and against the removal of a
// claim whose key may still be repeated.
TEST(claim_removal_process, removes_old_claims_and_keeps_young_ones)
{
    fleet f(removal_fleet());
    auto const old = prefix_in_part("old");
    auto const young = prefix_in_part("young");
    auto const fresh = prefix_in_part("fresh");
    auto const first = send(f, fresh);
    CHECK(first.kind == submit_kind::answered);
    write_finished(f, young, std::chrono::hours(25));
    write_finished(f, old, std::chrono::hours(27));
    CHECK(read_object(f, old).has_value());

    CHECK(wait_until([&] { return !read_object(f, old); },
                     std::chrono::seconds(120)));
    // The listing that found the old claim has read the others too.
    std::this_thread::sleep_for(std::chrono::seconds(1));
    CHECK(read_object(f, young).has_value());
    CHECK(read_object(f, fresh).has_value());

    auto const repeated = send(f, fresh);
    CHECK(repeated.repeated);
    CHECK(repeated.body == first.body);
    // A key whose claim is gone is a new request.
    auto const anew = send(f, old);
    CHECK(anew.kind == submit_kind::answered);
    CHECK(!anew.repeated);
}
