#include "adapters/codec/generators.hpp"
#include "core/config/upstream_address.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

namespace {

std::vector<parse_fault> faults_of(std::string_view text)
{
    auto const parsed = parse_ticket_file(text);
    auto const* faults = std::get_if<std::vector<parse_fault>>(&parsed);
    return faults == nullptr ? std::vector<parse_fault>() : *faults;
}

void check_faults(std::string_view text, std::vector<parse_fault> const& want)
{
    auto const found = faults_of(text);
    for (std::size_t i = 0; i < std::min(found.size(), want.size()); ++i) {
        LONGS_EQUAL(want[i].line, found[i].line);
        STRCMP_CONTAINS(want[i].reason.c_str(), found[i].reason.c_str());
    }
    LONGS_EQUAL(want.size(), found.size());
}

} // namespace

TEST_GROUP(config_json){};

// Guards against a ticket that changes between the operator and the platform.
TEST(config_json, ticket_round_trips_through_the_file_format)
{
    CHECK(rc::check([] {
        auto const t = gen::some_ticket(*rc::gen::inRange(0U, 1000U));
        auto const back = parse_ticket_file(write_ticket(t));
        RC_ASSERT(std::holds_alternative<ticket>(back));
        RC_ASSERT(std::get<ticket>(back) == t);
    }));
}

// Guards against stored configuration that reads back differently.
TEST(config_json, head_and_state_round_trip)
{
    CHECK(rc::check([] {
        config_head head;
        head.base = *rc::gen::inRange(0U, 1000U);
        head.tickets = gen::tickets(head.base);
        head.number = head.base + head.tickets.size();
        RC_ASSERT(parse_head(write_config_head(head)) == head);
        auto const state = gen::snapshot();
        RC_ASSERT(parse_snapshot(write_snapshot(state)) == state);
    }));
}

// Guards against a claim whose outcome changes when it is read back.
TEST(config_json, claim_round_trips)
{
    CHECK(rc::check([] {
        claim const c{gen::text(),
                      gen::any<std::uint64_t>(),
                      gen::choice(claim_state_names),
                      {gen::any<std::uint32_t>(), gen::text()},
                      gen::any<std::uint64_t>()};
        RC_ASSERT(parse_claim(write_claim(c)) == c);
    }));
}

// Guards against adopting a damaged stored object.
TEST(config_json, truncated_or_inconsistent_stored_text_has_no_value)
{
    config_head const head{1, 0, {{1, "a", "r", "n", {}}}};
    auto const text = write_config_head(head);
    for (std::size_t n = 0; n < text.size(); ++n) {
        CHECK(!parse_head(text.substr(0, n)).has_value());
    }
    CHECK(!parse_head(R"({"number":3,"base":0,"tickets":[]})").has_value());
    CHECK(!parse_snapshot(R"({"number":3,"objects":[{"kind":"x"}],)"
                          R"("history":[]})")
               .has_value());
    CHECK(!parse_claim(R"({"nonce":"n"})").has_value());
}

// Guards against a valid YAML ticket being refused or read with wrong units.
TEST(config_json, yaml_ticket_is_read)
{
    auto const parsed = parse_ticket_file("author: amara\n"
                                          "reason: first services\n"
                                          "objects:\n"
                                          "  - kind: group\n"
                                          "    name: stores-desk\n"
                                          "    deadline_ms: 250.5\n"
                                          "  - kind: remove\n"
                                          "    key: service/old\n");
    CHECK(std::holds_alternative<ticket>(parsed));
    auto const& t = std::get<ticket>(parsed);
    LONGS_EQUAL(2, t.objects.size());
    CHECK(std::get<group_object>(t.objects[0]).deadline == duration(250'500));
    CHECK(std::get<removed_object>(t.objects[1]).key == "service/old");
}

// Guards against a ticket file that is refused, or accepted, although the
// check of the ticket judges its addresses otherwise.
TEST(config_json, addresses_are_those_that_the_ticket_check_accepts)
{
    auto const file_with = [](std::string const& address) {
        return "number: 1\nauthor: a\nreason: r\nobjects:\n"
               "  - {kind: upstream, id: 1, name: u, service: s, "
               "data_centre: d, address: \"" +
               address + "\"}\n";
    };
    for (std::string const address :
         {"127.0.0.1:7200", "[::1]:7200", "[2001:db8::7]:7200", "::1:7200",
          "[::1]", "[127.0.0.1]:7200", "[::1]:0", "localhost:7200",
          "127.0.0.1:07200x"}) {
        auto const parsed = parse_ticket_file(file_with(address));
        CHECK_EQUAL(is_upstream_address(address),
                    std::holds_alternative<ticket>(parsed));
    }
    auto const parsed = parse_ticket_file(file_with("[::1]:7200"));
    auto const& object = std::get<ticket>(parsed).objects.at(0);
    CHECK(std::get<upstream_object>(object).address == "[::1]:7200");
}

// Guards against an operator having to fix one fault at a time.
TEST(config_json, every_fault_is_reported_with_its_line)
{
    check_faults("author: amara\n"
                 "author: ben\n"
                 "colour: red\n"
                 "objects:\n"
                 "  - kind: group\n"
                 "    name: a b\n"
                 "    min_coverage: 1.5\n"
                 "    first_step: \"true\"\n"
                 "    priority: high\n"
                 "    priority: 3\n"
                 "  - kind: upstream\n"
                 "    id: 0\n"
                 "    name: [x]\n"
                 "    service: s\n"
                 "    data_centre: d\n"
                 "    address: localhost\n"
                 "    state: gone\n"
                 "    size: 3\n"
                 "  - kind: shard\n"
                 "  - 5\n"
                 "  - kind: service\n"
                 "    name: s\n"
                 "    group: g\n"
                 "    connect_ms: -1\n"
                 "  - {kind: remove, key: service/s}\n",
                 {{1, "\"reason\" is missing"},
                  {2, "duplicate key \"author\""},
                  {3, "unknown key \"colour\""},
                  {6, "\"name\" must be"},
                  {7, "\"min_coverage\" must be"},
                  {8, "\"first_step\" must be"},
                  {9, "\"priority\" must be"},
                  {10, "duplicate key \"priority\""},
                  {12, "\"id\" must be"},
                  {13, "\"name\" must be"},
                  {16, "\"address\" must be"},
                  {17, "\"state\" must be one of active, leaving"},
                  {18, "unknown key \"size\""},
                  {19, "\"kind\" must be"},
                  {20, "an object must be a map"},
                  {24, "\"connect_ms\" must be"},
                  {25, "\"service/s\" twice"}});
}

// Guards against a crash or an endless loop on text that is no ticket at all.
TEST(config_json, other_texts_are_faults)
{
    check_faults("", {{0, "one document"}});
    check_faults(",", {{0, "one document"}});
    check_faults("a: 1\n---\nb: 2\n", {{0, "one document"}});
    check_faults("a: [\n", {{2, ""}});
    check_faults("- 1\n", {{1, "must hold a map"}});
    check_faults("author: a\nreason: \xff\nobjects: []\n", {{2, "UTF-8"}});
    CHECK(rc::check(
        [](std::string const& text) { RC_ASSERT(!faults_of(text).empty()); }));
}
