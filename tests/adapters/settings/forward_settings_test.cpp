#include "adapters/settings/forward_settings.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

namespace {

std::string const minimal = R"(host: {name: h1, data_centre: a}
listen:
  callers: "192.0.2.1:1"
  readiness: "192.0.2.1:2"
  metrics: "192.0.2.1:3"
store: {address: "192.0.2.9:80"}
)";

} // namespace

TEST_GROUP(forward_settings_file){
    forward_settings good(std::string const& text){
        auto const result = parse_forward_settings(text);
CHECK(std::holds_alternative<forward_settings>(result));
return std::get<forward_settings>(result);
}
std::size_t faults(std::string const& text)
{
    auto const result = parse_forward_settings(text);
    auto const* const it = std::get_if<std::vector<settings_fault>>(&result);
    return it ? it->size() : 0;
}
}
;

TEST(forward_settings_file, reads_addresses_and_defaults)
{
    auto const it = good(minimal);
    STRCMP_EQUAL("h1", it.name.c_str());
    CHECK((it.callers == listen_address{.ip = "192.0.2.1", .port = 1}));
    CHECK((it.store == listen_address{.ip = "192.0.2.9", .port = 80}));
    CHECK(it.change_within == from_ms(3000));
}

// Guards against watches that outlast the history of another store.
TEST(forward_settings_file, reads_how_long_the_store_keeps_its_history)
{
    CHECK(good(minimal).store_history == from_ms(20'000));
    auto text = minimal;
    text.replace(text.find(":80\""), 4, ":80\", history_s: 30");
    CHECK(good(text).store_history == from_ms(30'000));
}

// Guards against hosts that together repeat more than the fleet may.
TEST(forward_settings_file, divides_the_slack_of_the_fleet)
{
    auto const it = good(minimal + "fleet: {hosts: 10}\n"
                                   "repeats: {ratio: 0.1, fleet_slack: 60}\n");
    DOUBLES_EQUAL(0.1, it.retry_budget.ratio, 1e-9);
    DOUBLES_EQUAL(3, it.retry_budget.floor, 1e-9);
}

// Guards against a relay that other hosts cannot find or believe to be strong.
TEST(forward_settings_file, reads_where_queries_of_other_hosts_arrive)
{
    CHECK_FALSE(good(minimal).relay.has_value());
    auto text = minimal;
    text.replace(text.find("data_centre: a"), 14, "data_centre: a, cores: 0.5");
    text.insert(text.find("store:"), "  relay: \"192.0.2.1:4\"\n");
    auto const it = good(text);
    CHECK((it.relay == listen_address{.ip = "192.0.2.1", .port = 4}));
    DOUBLES_EQUAL(0.5, it.cores, 1e-9);
}

TEST(forward_settings_file, reports_every_fault)
{
    UNSIGNED_LONGS_EQUAL(3, faults("{}"));
    UNSIGNED_LONGS_EQUAL(1, faults(minimal + "unknown: 1\n"));
    UNSIGNED_LONGS_EQUAL(1, faults(minimal + "repeats: {ratio: high}\n"));
    UNSIGNED_LONGS_EQUAL(1, faults(minimal + "bounds: {stop_within_s: 0}\n"));
    auto text = minimal;
    text.replace(text.find("192.0.2.1:1"), 11, "192.0.2.1");
    UNSIGNED_LONGS_EQUAL(1, faults(text));
}
