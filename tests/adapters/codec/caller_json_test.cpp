#include "adapters/codec/caller_json.hpp"
#include "adapters/codec/generators.hpp"
#include "adapters/codec/json_text.hpp"

#include <boost/json/parse.hpp>

#include <CppUTest/TestHarness.h>

using namespace snipemill;

namespace {

failure refused(std::string_view body)
{
    auto const parsed = parse_caller_query(body);
    auto const* f = std::get_if<failure>(&parsed);
    return f == nullptr ? failure{.code = errc::ok} : *f;
}

} // namespace

TEST_GROUP(caller_json){};

// Guards against a query that reaches upstreams changed, for example with
// another last digit of a number.
TEST(caller_json, query_is_passed_on_unchanged)
{
    auto const parsed = parse_caller_query(
        R"({"group":"stores-desk","query":{"max_rank": 17.35,
            "n":12345678901234567890123,"t":"a \"b\""},
            "offset":5,"limit":7,"order":"desc","deadline_ms":80,
            "min_coverage":0.3,"partial":true})");
    CHECK(std::holds_alternative<caller_query>(parsed));
    CHECK(std::get<caller_query>(parsed) ==
          (caller_query{.group = "stores-desk",
                        .body = R"({"max_rank":17.35,)"
                                R"("n":12345678901234567890123,)"
                                R"("t":"a \"b\""})",
                        .offset = 5,
                        .limit = 7,
                        .order = sort_order::descending,
                        .deadline = from_ms(80),
                        .min_coverage = 0.3,
                        .partial = true}));
}

// Guards against a malformed request that runs with some default.
TEST(caller_json, malformed_queries_are_refused_as_not_run)
{
    for (auto const* body :
         {"", "[]", "{}", R"({"group":"g"})", R"({"query":{}})",
          R"({"group":7,"query":{}})", R"({"group":"g","query":[]})",
          R"({"group":"g","query":{},"limit":-1})",
          R"({"group":"g","query":{},"limit":4294967296})",
          R"({"group":"g","query":{},"order":"up"})",
          R"({"group":"g","query":{},"deadline_ms":0})",
          R"({"group":"g","query":{},"min_coverage":1.01})",
          R"({"group":"g","query":{},"partial":1})",
          R"({"group":"g","query":{},"colour":1})",
          R"({"group":"g","group":"h","query":{}})",
          R"({"group":"g","query":{}} x)"}) {
        auto const f = refused(body);
        CHECK_TEXT(f.code == errc::malformed_request, body);
        CHECK(f.run == run_state::not_run);
        CHECK(!f.detail.empty());
    }
}

// Guards against a submit that runs without a key or with a wrong body.
TEST(caller_json, submit_is_read_and_needs_a_key)
{
    auto const text =
        R"({"group":"g","service":"s","request":{"a": 1},"deadline_ms":9})";
    auto const parsed = parse_caller_submit(text, "k");
    CHECK(std::get<caller_submit>(parsed) ==
          (caller_submit{"g", "s", "k", R"({"a":1})", from_ms(9)}));
    CHECK(std::get<failure>(parse_caller_submit(text, "")).code ==
          errc::key_required);
    CHECK(
        std::get<failure>(parse_caller_submit(R"({"group":"g"})", "k")).code ==
        errc::malformed_request);
}

// Guards against an answer that is not JSON or loses a field.
TEST(caller_json, answer_is_written_whole)
{
    query_answer const a{
        .records = {{"order-\"1\"\n", 17.5, partition_id(3), R"({"n":1})"}},
        .total = 9,
        .snapshot = index_version(7),
        .coverage = {.fraction = 0.75,
                     .partitions = 4,
                     .merged = 3,
                     .missing = {{"s-02", {partition_id(2)}}},
                     .missing_services = {"s-02"}},
        .deadline_cut = true,
        .partial = true,
        .reruns = 1,
        .hedges = 2,
        .sub_requests = 5};
    STRCMP_EQUAL(R"({"records":[{"key":"order-\"1\"\u000a","rank":17.5,)"
                 R"("partition":3,"body":{"n":1}}],"total":9,"snapshot":7,)"
                 R"("coverage":{"fraction":0.75,"partitions":4,"merged":3,)"
                 R"("missing":[{"service":"s-02","partitions":[2]}],)"
                 R"("missing_services":["s-02"]},"deadline_cut":true,)"
                 R"("partial":true,"reruns":1,"hedges":2,"sub_requests":5})",
                 write_query_answer(a).c_str());
    CHECK(write_query_answer({}).find(R"("fraction":null)") !=
          std::string::npos);
}

// Guards against a failure that a caller's program cannot read.
TEST(caller_json, failure_is_valid_json_and_has_a_status)
{
    auto const text =
        write_failure({errc::overloaded, run_state::not_run, "a \"b\"\t"});
    boost::json::error_code ec;
    auto const v = boost::json::parse(text, ec);
    CHECK(!ec);
    CHECK(v.at("error").at("code") == "overloaded");
    CHECK(v.at("error").at("run") == "not_run");
    CHECK(v.at("error").at("detail") == "a \"b\"\t");
    for (auto const& it : errc_names) {
        CHECK(it.first == errc::ok || http_status(it.first) >= 400);
    }
}

// Guards against strings that break the JSON text around them.
TEST(caller_json, quoted_text_reads_back)
{
    CHECK(rc::check([] {
        auto const text = gen::text();
        std::string out;
        append_quoted(out, text);
        RC_ASSERT(boost::json::parse(out).as_string() == text);
    }));
}
