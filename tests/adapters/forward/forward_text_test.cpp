#include "adapters/forward/forward_text.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

TEST_GROUP(forward_text)
{
    forward_headers names{.request_id = "x-id",
                          .time_left = "x-left",
                          .stamp = "x-proof",
                          .expected_instance = "x-instance",
                          .load = "x-load",
                          .rate_limit = "x-limit",
                          .leaving = "x-leaving",
                          .not_run = "x-not-run",
                          .account = "x-account",
                          .shard_stamps = "x-proofs",
                          .missing_shards = "x-missing"};

    std::string write(http_request request, caller_identity const& caller = {})
    {
        return write_upstream_request(
            make_forward_request(std::move(request), names, caller), names,
            from_ms(250), "i-1");
    }
    static bool has(std::string const& text, std::string const& part)
    {
        return text.find(part) != std::string::npos;
    }
};

// Guards against altering a caller's request on its way to the upstream.
TEST(forward_text, passes_on_method_target_headers_and_body)
{
    auto const text = write(
        {.method = "POST",
         .target = "/a/b?c=%20",
         .headers = {{"host", "h.example"}, {"x-id", "7"}, {"x-own", "v"}},
         .body = "body"});
    CHECK(text.starts_with("POST /a/b?c=%20 HTTP/1.1\r\n"));
    CHECK(has(text, "host: h.example\r\n"));
    CHECK(has(text, "x-id: 7\r\n"));
    CHECK(has(text, "x-own: v\r\n"));
    CHECK(has(text, "content-length: 4\r\n"));
    CHECK(text.ends_with("\r\n\r\nbody"));
}

// Guards against a key that reaches an upstream, and against a caller that
// chooses its account itself.
TEST(forward_text, the_name_of_the_account_takes_the_place_of_the_key)
{
    http_request const request{.method = "GET",
                               .target = "/a",
                               .headers = {{"host", "h"},
                                           {"authorization", "Bearer secret"},
                                           {"x-account", "other"},
                                           {"x-account", "third"}}};
    client_account const account{.name = "a1"};
    auto const text =
        write(request, {.accounts_in_force = true, .account = &account});
    CHECK(has(text, "x-account: a1\r\n"));
    CHECK_FALSE(has(text, "other"));
    CHECK_FALSE(has(text, "third"));
    CHECK_FALSE(has(text, "secret"));
    CHECK_FALSE(has(text, "authorization"));
    auto const anonymous = write(request, {.accounts_in_force = true});
    CHECK_FALSE(has(anonymous, "x-account"));
    CHECK_FALSE(has(anonymous, "secret"));
    // Without accounts nothing is taken out.
    CHECK(has(write(request), "authorization: Bearer secret\r\n"));
}

// Guards against a fingerprint, which other hosts see, that is made from a key,
// and against one that two accounts share.
TEST(forward_text, the_fingerprint_holds_the_account_and_not_the_key)
{
    http_request request{
        .method = "GET",
        .target = "/a",
        .headers = {{"host", "h"}, {"authorization", "Bearer one"}}};
    client_account const a{.name = "a"};
    client_account const b{.name = "b"};
    auto const print = [&](client_account const& account) {
        auto it = request;
        return make_forward_request(
                   std::move(it), names,
                   {.accounts_in_force = true, .account = &account})
            .print;
    };
    auto const first = print(a);
    CHECK(first != print(b));
    request.headers[1].second = "Bearer two";
    CHECK(first == print(a));
}

// Guards against taking a repeated request for another one because its id and
// deadline differ, and two requests for the same one.
TEST(forward_text, a_repeated_request_has_the_same_fingerprint)
{
    http_request const first{
        .method = "GET",
        .target = "/a",
        .headers = {{"host", "h"}, {"x-id", "1"}, {"x-left", "100"}}};
    auto again = first;
    again.headers[1].second = "2";
    again.headers[2].second = "50";
    auto const print = [this](http_request it) {
        return make_forward_request(std::move(it), names).print;
    };
    CHECK(print(first) == print(again));
    auto other = first;
    other.target = "/b";
    CHECK(print(first) != print(other));
    other = first;
    other.headers.emplace_back("authorization", "Bearer x");
    CHECK(print(first) != print(other));
    other = first;
    other.body = "x";
    CHECK(print(first) != print(other));
}

// Guards against forwarding a caller's own instance or deadline header, which
// could name another instance or more time than is left.
TEST(forward_text, sets_its_own_headers_once)
{
    auto const text =
        write({.method = "GET",
               .target = "/",
               .headers = {{"x-left", "9999"}, {"x-instance", "i-9"}}});
    CHECK(has(text, "x-left: 250\r\n"));
    CHECK(has(text, "x-instance: i-1\r\n"));
    CHECK_FALSE(has(text, "9999"));
    CHECK_FALSE(has(text, "i-9"));
    CHECK_FALSE(has(text, "content-length"));
}

// Guards against forwarding hop-by-hop headers of the caller's connection.
TEST(forward_text, drops_headers_of_the_connection)
{
    auto const text = write({.method = "POST",
                             .target = "/",
                             .headers = {{"connection", "close, X-Hop"},
                                         {"x-hop", "1"},
                                         {"keep-alive", "timeout=5"},
                                         {"transfer-encoding", "chunked"},
                                         {"upgrade", "h2c"}},
                             .body = "b"});
    for (auto const* const it :
         {"connection", "x-hop", "keep-alive", "transfer-enc", "upgrade"}) {
        CHECK_FALSE(has(text, it));
    }
    CHECK(has(text, "content-length: 1\r\n"));
}

TEST(forward_text, reads_an_upstreams_answer)
{
    auto const out = read_upstream_answer({.status = 503,
                                           .headers = {{"x-proof", "p"},
                                                       {"x-not-run", "1"},
                                                       {"x-load", "3,0,8"},
                                                       {"connection", "close"},
                                                       {"x-own", "v"}},
                                           .body = "b"},
                                          names);
    CHECK(out.not_run);
    CHECK_FALSE(out.wrong_instance);
    STRCMP_EQUAL("p", out.stamp.c_str());
    UNSIGNED_LONGS_EQUAL(3, out.signals.load->running);
    UNSIGNED_LONGS_EQUAL(8, out.signals.load->slots);
    UNSIGNED_LONGS_EQUAL(4, out.headers.size());
}

// Guards against an upstream's stated limit that nobody reads, and against
// taking a spoilt value for a limit.
TEST(forward_text, reads_the_limit_that_an_upstream_states)
{
    auto const limit = [this](std::string const& value) {
        return read_upstream_answer(
                   {.status = 200, .headers = {{"x-limit", value}}}, names)
            .signals.rate_limit;
    };
    CHECK(limit("12.5") == 12.5);
    CHECK(limit("0") == 0.0);
    for (auto const* const it :
         {"", "x", "-1", "nan", "inf", "1e999", "5 per second"}) {
        CHECK_FALSE(limit(it).has_value());
    }
}

// Guards against sending requests to an upstream that announces its end in its
// answers only, or whose entry in the store is late.
TEST(forward_text, reads_that_an_upstream_is_leaving)
{
    auto const leaving = [this](std::string const& value) {
        return read_upstream_answer(
                   {.status = 200, .headers = {{"x-leaving", value}}}, names)
            .signals.leaving;
    };
    CHECK(leaving("1"));
    CHECK_FALSE(leaving("0"));
    CHECK_FALSE(leaving(""));
}

// Guards against sending requests to an upstream that has asked to be left
// alone, and against times that do not fit or are none.
TEST(forward_text, reads_how_long_an_upstream_wants_no_requests)
{
    auto const wait = [this](unsigned status, std::string const& value) {
        return read_upstream_answer(
                   {.status = status, .headers = {{"retry-after", value}}},
                   names)
            .signals.retry_after;
    };
    CHECK(wait(503, "3") == from_ms(3000));
    CHECK(wait(503, "0.25") == from_ms(250));
    CHECK(wait(503, "1e300") > from_ms(1000));
    CHECK_FALSE(wait(200, "3").has_value());
    for (auto const* const it :
         {"", "x", "-1", "nan", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
        CHECK_FALSE(wait(503, it).has_value());
    }
}

// Upstreams of some services report their speed as a fourth field, and may
// report more in future. Guards against dropping such a report as a whole.
TEST(forward_text, reads_a_load_with_further_fields)
{
    for (auto const* const it :
         {"1,2,3,250", "1,2,3,250,", "1,2,3,250,x", "1,2,3,250,7,8"}) {
        CHECK(read_load(it).has_value());
        DOUBLES_EQUAL(2.5, *read_load(it)->speed, 1e-9);
        UNSIGNED_LONGS_EQUAL(3, read_load(it)->slots);
    }
    CHECK_FALSE(read_load("1,2,3")->speed.has_value());
}

// Guards against reports that are dropped without a trace, and against
// counting answers that have no report.
TEST(forward_text, tells_a_malformed_load_from_none)
{
    auto const malformed = [this](header_list const& headers) {
        return read_signals(200, headers, names).malformed_load;
    };
    CHECK(malformed({{"x-load", "1,2"}}));
    CHECK(malformed({{"x-load", ""}}));
    CHECK_FALSE(malformed({{"x-load", "1,2,3,100"}}));
    CHECK_FALSE(malformed({}));
}

TEST(forward_text, reads_only_a_whole_load)
{
    for (auto const* const it :
         {"", "1", "1,2", "1,2,", "1,2,3,", "1, 2,3", "-1,2,3", "a,b,c",
          "1,2,99999999999", "1,2,3,0", "1,2,3,x", "1,2,3,-5", "1,2,3,,5",
          "1,2,3,1e2", "1,2,3 "}) {
        CHECK_FALSE(read_load(it).has_value());
    }
}

// Guards against a merged answer without its shard stamps or the number of
// missing shards.
TEST(forward_text, writes_a_merged_answer)
{
    auto const out = write_caller_answer(
        merged_answer{.body = "b", .stamps = {"p", "q"}, .missing = 3}, names);
    UNSIGNED_LONGS_EQUAL(200, out.status);
    header_list const expected{{"x-proofs", "p, q"}, {"x-missing", "3"}};
    CHECK(out.headers == expected);
}

// Guards against an error answer without Retry-After, and against rounding a
// delay of less than a second.
TEST(forward_text, writes_a_refusal_with_fractions_of_seconds)
{
    auto const out = write_caller_answer(
        error_answer{.status = 503, .retry_after = from_ms(50)}, names);
    UNSIGNED_LONGS_EQUAL(503, out.status);
    header_list const expected{{"Retry-After", "0.050"}};
    CHECK(out.headers == expected);
}
