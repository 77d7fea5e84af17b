#include "adapters/settings/host_settings.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace snipemill;

namespace {

std::string const minimal = "host:\n"
                            "  name: colombo-a\n"
                            "  data_centre: colombo\n"
                            "platform:\n"
                            "  port: 7000\n";

std::vector<settings_fault> faults_of(std::string const& text)
{
    auto const result = parse_host_settings(text);
    auto const* faults = std::get_if<std::vector<settings_fault>>(&result);
    return faults == nullptr ? std::vector<settings_fault>{} : *faults;
}

bool has_fault(std::vector<settings_fault> const& faults, int line,
               std::string const& part)
{
    for (auto const& it : faults) {
        if (it.line == line && it.reason.find(part) != std::string::npos) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_GROUP(host_settings){};

// Guards against defaults that a minimal file cannot be started with.
TEST(host_settings, minimal_file_is_accepted)
{
    auto const result = parse_host_settings(minimal);
    auto const* settings = std::get_if<host_settings>(&result);
    CHECK(settings != nullptr);
    CHECK(settings->name == "colombo-a");
    LONGS_EQUAL(7000, settings->platform.port);
    CHECK(settings->owner.ramp);
}

// Guards against a rate of crash datagrams that cannot be set.
TEST(host_settings, rate_of_crash_bursts_is_read)
{
    auto const result =
        parse_host_settings(minimal + "crashes: {bursts_per_second: 9}\n");
    auto const* settings = std::get_if<host_settings>(&result);
    CHECK(settings != nullptr);
    LONGS_EQUAL(9, settings->crash_bursts.per_second);
    CHECK(!faults_of(minimal + "crashes: {bursts_per_second: 1001}\n").empty());
}

// Guards against a check that stops at the first fault.
TEST(host_settings, every_fault_is_reported_with_its_line)
{
    auto const faults = faults_of(minimal + "traffic_threads: many\n"
                                            "listen:\n"
                                            "  caller_port: 70000\n"
                                            "  collar_port: 1\n"
                                            "log:\n"
                                            "  format: xml\n");
    LONGS_EQUAL(4, faults.size());
    CHECK(has_fault(faults, 6, "traffic_threads must be a whole number"));
    CHECK(has_fault(faults, 8, "caller_port must be from 0 to 65535"));
    CHECK(has_fault(faults, 9, "collar_port is not a known setting"));
    CHECK(has_fault(faults, 11, "format must be text or json"));
}

// Guards against a seed that is listed twice by mistake.
TEST(host_settings, duplicate_seed_is_refused)
{
    std::string const seed =
        "  - {ip: 127.0.0.1, peer_port: 7301, data_centre: colombo}\n";
    auto const faults = faults_of(minimal + "seeds:\n" + seed + seed);
    LONGS_EQUAL(1, faults.size());
    CHECK(has_fault(faults, 8, "127.0.0.1:7301 twice"));
}

// Guards against the second of two equal keys winning silently.
TEST(host_settings, repeated_key_is_refused)
{
    auto const faults =
        faults_of(minimal + "traffic_threads: 1\ntraffic_threads: 2\n");
    LONGS_EQUAL(1, faults.size());
    CHECK(has_fault(faults, 7, "traffic_threads stands twice"));
}

// Guards against starting without an identity or a platform.
TEST(host_settings, missing_sections_are_reported)
{
    auto const faults = faults_of("traffic_threads: 1\n");
    CHECK(has_fault(faults, 1, "host is missing"));
    CHECK(has_fault(faults, 1, "platform is missing"));
}

// Guards against refusing the first host of a fleet, which has no seeds.
TEST(host_settings, list_without_entries_is_empty)
{
    LONGS_EQUAL(0, faults_of(minimal + "seeds:\nlog: {format: json}\n").size());
}

// Guards against an exception on text that is not YAML.
TEST(host_settings, broken_yaml_is_a_fault_with_a_line)
{
    auto const faults = faults_of("host: [1, 2\nplatform: }\n");
    LONGS_EQUAL(1, faults.size());
    CHECK(faults[0].line >= 1);
}

// Guards against a scalar where a map belongs.
TEST(host_settings, wrong_shape_is_a_fault)
{
    CHECK(has_fault(faults_of(minimal + "log: text\n"), 6, "must be a map"));
    CHECK(has_fault(faults_of(minimal + "seeds: 3\n"), 6, "must be a list"));
    CHECK(has_fault(faults_of("just text\n"), 1, "must be a map"));
}

// Guards against a claim that is removed while its key may be repeated.
TEST(host_settings, claim_age_below_the_promise_is_refused)
{
    CHECK(has_fault(faults_of(minimal + "claims: {age_hours: 25}\n"), 6,
                    "age_hours must be from 26"));
    LONGS_EQUAL(0, faults_of(minimal + "claims: {age_hours: 26}\n").size());
}
