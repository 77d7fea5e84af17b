#include "adapters/codec/generators.hpp"
#include "adapters/codec/json_text.hpp"
#include "adapters/codec/upstream_json.hpp"

#include <boost/json/parse.hpp>

#include <CppUTest/TestHarness.h>

using namespace snipemill;

namespace {

constexpr auto example =
    R"({"version": 7, "partition_count": 64,
 "partitions": [{"id": 3, "documents": 120, "matches": 4}],
 "records": [{"key": "order-17", "rank": 17.35, "partition": 3,
              "body": {"depot": "Kelaniya ]}\"", "sum": 0.30, "l": [1, {}]}},
             {"body": {}, "key": "order-18", "rank": 18, "partition": 3}]})";

std::string write_answer(std::vector<record> const& records)
{
    std::string out =
        R"({"version":1,"partition_count":2,"partitions":[],"records":[)";
    for (auto const& r : records) {
        out += out.back() == '[' ? "" : ",";
        out += R"({"key":)";
        append_quoted(out, r.key);
        out += R"(,"rank":)";
        append_number(out, r.rank);
        out += R"(, "partition":)" + std::to_string(r.partition.value);
        out += R"(, "body": )" + r.body + "}";
    }
    return out + "]}";
}

} // namespace

TEST_GROUP(upstream_json){};

// Guards against records whose numbers or texts change on the way.
TEST(upstream_json, answer_keeps_ranks_and_bodies_exactly)
{
    auto const a = parse_sub_answer(example);
    CHECK(a.has_value());
    CHECK(a->version == index_version(7));
    LONGS_EQUAL(64, a->partition_count);
    CHECK(a->partitions ==
          (std::vector<partition_part>{{partition_id(3), 120, 4}}));
    CHECK(a->records ==
          (std::vector<record>{
              {"order-17", 17.35, partition_id(3),
               R"({"depot":"Kelaniya ]}\"","sum":0.30,"l":[1,{}]})"},
              {"order-18", 18, partition_id(3), "{}"}}));
}

// Guards against rounding of ranks, which would change the order of records.
TEST(upstream_json, records_round_trip)
{
    CHECK(rc::check([] {
        auto const records = gen::list([] {
            std::string body = R"({"t":)";
            append_quoted(body, gen::text());
            return record{gen::text(), gen::any<double>(),
                          gen::id<partition_id>(), body + "}"};
        });
        auto const a = parse_sub_answer(write_answer(records));
        RC_ASSERT(a.has_value());
        RC_ASSERT(a->records == records);
    }));
}

// Guards against merging an answer that was cut off.
TEST(upstream_json, truncated_answer_is_malformed)
{
    std::string_view const text = example;
    for (std::size_t n = 0; n < text.size(); ++n) {
        CHECK(!parse_sub_answer(text.substr(0, n)).has_value());
    }
}

// Guards against merging an answer with a missing or wrong member.
TEST(upstream_json, incomplete_answer_is_malformed)
{
    for (auto const* from :
         {"version", "partition_count", "partitions", "records", "key", "rank",
          "body", "documents", "matches", "id"}) {
        std::string text = example;
        text.insert(text.find("\"" + std::string(from) + "\"") + 1, "x");
        CHECK_TEXT(!parse_sub_answer(text).has_value(), from);
    }
    std::string text = example;
    text.replace(text.find("17.35"), 5, "1e999");
    CHECK(!parse_sub_answer(text).has_value());
}

// Guards against a crash on bytes that an upstream may send.
TEST(upstream_json, arbitrary_text_does_not_crash)
{
    CHECK(rc::check([](std::string const& text) {
        parse_sub_answer(text);
        parse_held_versions(text);
        parse_upstream_status(text);
        for (json_walk walk(text); walk.next();) {
        }
    }));
}

// Guards against a request that an upstream reads differently.
TEST(upstream_json, sub_request_is_written_as_the_protocol_says)
{
    sub_request const r{.group = "stores-desk",
                        .body = R"({"min_rank":1})",
                        .limit = 20,
                        .order = sort_order::descending};
    STRCMP_EQUAL(R"({"group":"stores-desk","query":{"min_rank":1},)"
                 R"("limit":20,"order":"desc"})",
                 write_sub_request(r).c_str());
}

// Guards against a wrong catalogue of versions.
TEST(upstream_json, status_and_held_versions_are_read)
{
    auto const s = parse_upstream_status(
        R"({"starting":false,"draining":true,"in_flight":1,"held":[
            {"version":7,"partition_count":64,
             "partitions":[{"id":3,"documents":120}]}]})");
    CHECK(s.has_value());
    CHECK(s->draining && !s->starting);
    CHECK(s->held == (std::vector<held_version>{
                         {index_version(7), 64, {{partition_id(3), 120, 0}}}}));
    CHECK(!parse_upstream_status("{}").has_value());
    CHECK(parse_held_versions(R"({"held":[7,8]})") ==
          (std::vector<index_version>{index_version(7), index_version(8)}));
    CHECK(parse_held_versions("{").empty());
}
