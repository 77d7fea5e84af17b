#include "adapters/upstream/upstream_pool_fixture.hpp"

#include <utility>

using namespace snipemill;
using namespace snipemill::test;

TEST_GROUP_BASE(upstream_answers, upstream_pool_fixture){};

// Guards against a request whose headers do not say what the protocol needs.
TEST(upstream_answers, sends_the_headers_of_the_protocol)
{
    start(1, 4);
    query();
    LONGS_EQUAL(0, results.size());
    auto const peer = wait_for("POST /search");
    CHECK(peer->has("X-Request-Id: "));
    CHECK(peer->has("X-Index-Version: 7\r\n"));
    CHECK(peer->has("X-Deadline-Ms: "));
    peer->send(good);
    CHECK(wait_results(1));
    CHECK(is_good(results[0]));
}

// Guards against an answer that is mapped to the wrong outcome.
TEST(upstream_answers, maps_answers_of_queries)
{
    start(1, 4);
    std::vector<std::pair<std::string, sub_outcome>> const cases = {
        {answer("503 No", "", "Retry-After: 1\r\n"), sub_outcome::shed},
        {answer("503 No", "", "X-Draining: 1\r\n"), sub_outcome::draining},
        {answer("504 Late"), sub_outcome::timed_out},
        {answer("499 Cancelled"), sub_outcome::cancelled},
        {answer("400 Bad", "{}"), sub_outcome::refused},
        {answer("500 Fault"), sub_outcome::malformed},
        {answer("200 OK", "{nonsense"), sub_outcome::malformed},
        {answer("200 OK", R"({"version":7})"), sub_outcome::malformed},
        {answer("410 Gone", R"({"held": [8, 9]})"), sub_outcome::version_gone},
    };
    for (auto const& [text, outcome] : cases) {
        auto const n = results.size();
        query();
        CHECK(run_until(io, [&] {
            return !server.peers.empty() &&
                   server.peers[0]->count("POST") == n + 1;
        }));
        server.peers[0]->send(identified(text, *server.peers[0]));
        CHECK(wait_results(n + 1));
        CHECK(failed(n) == outcome);
    }
    std::vector<index_version> const held = {index_version(8),
                                             index_version(9)};
    CHECK(std::get<sub_failure>(results.back()).held == held);
    LONGS_EQUAL(3, pool->counters().malformed);
}

// Guards against a crash inside the answer that is not suspected, since the
// owner counts only resets.
TEST(upstream_answers, answer_cut_off_by_the_upstream_is_a_reset)
{
    start(1, 4);
    std::string const chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::vector<std::string> const starts = {
        "",
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n",
        good.substr(0, good.size() - 1),
        "HTTP/1.1 503 No\r\nContent-Length: 5\r\n\r\n",
        chunked + "32\r\n{\"ver",
        chunked + "5\r\n{\"ver\r\n",
        "HTTP/1.1 200 OK\r\n\r\n{\"ver",
    };
    for (std::size_t i = 0; i < starts.size(); ++i) {
        query();
        end_answer(i, starts[i]);
        CHECK(wait_results(i + 1));
        CHECK(failed(i) == sub_outcome::reset);
    }
    LONGS_EQUAL(1, pool->counters().resets);
    LONGS_EQUAL(7, pool->counters().truncated);
    LONGS_EQUAL(0, pool->counters().malformed);
}

// Guards against an answer lost to a reset, by the network's signal, that is
// taken for a malformed one.
TEST(upstream_answers, connection_reset_is_a_reset)
{
    start(1, 4);
    query();
    wait_for("POST /search")->reset();
    CHECK(wait_results(1));
    CHECK(failed(0) == sub_outcome::reset);
    LONGS_EQUAL(1, pool->counters().resets);
}

// Guards against a fault of the answer's content taken for a crash, which
// would quarantine a harmless query.
TEST(upstream_answers, complete_answer_before_a_close_is_malformed)
{
    start(1, 4);
    std::vector<std::string> const texts = {
        answer("200 OK", "{\"ver"),
        "HTTP/1.1 200 OK\r\n\r\n{\"version\":7}",
        "HTTP/1.1 200 OK\r\n\r\n{nonsense",
        "nonsense\r\n\r\n",
    };
    for (std::size_t i = 0; i < texts.size(); ++i) {
        query();
        end_answer(i, texts[i]);
        CHECK(wait_results(i + 1));
        CHECK(failed(i) == sub_outcome::malformed);
    }
    LONGS_EQUAL(0, pool->counters().resets);
    LONGS_EQUAL(0, pool->counters().truncated);
    LONGS_EQUAL(4, pool->counters().malformed);
}

// Guards against a submit whose answer is cut off being reported as answered
// or as a fault of the answer.
TEST(upstream_answers, submit_answer_cut_off_is_an_unknown_outcome)
{
    start(1, 4);
    std::vector<std::pair<std::string, errc>> const cases = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"b\":2}",
         errc::upstream_reset},
        {"HTTP/1.1 200 OK\r\n\r\n{\"b\":", errc::upstream_reset},
        {"HTTP/1.1 503 No\r\nContent-Le", errc::upstream_reset},
        {"nonsense\r\n\r\n", errc::upstream_failed},
    };
    for (std::size_t i = 0; i < cases.size(); ++i) {
        submit();
        end_answer(i, cases[i].first);
        CHECK(wait_outcomes(i + 1));
        CHECK(outcomes[i] == submit_outcome(submit_unknown{cases[i].second}));
    }
}

// Guards against a submit reported as not run although it may have run, and
// the other way round.
TEST(upstream_answers, maps_answers_of_submits)
{
    start(1, 4);
    std::vector<std::pair<std::string, submit_outcome>> const cases = {
        {answer("200 OK", R"({"b":2})"),
         submit_answered{.status = 200, .body = R"({"b":2})"}},
        {answer("409 No", R"({"e":1})"),
         submit_answered{.status = 409, .body = R"({"e":1})"}},
        {answer("400 Bad"), submit_not_run{errc::malformed_request}},
        {answer("503 No"), submit_not_run{errc::upstream_shed}},
        {answer("503 No", "", "X-Draining: 1\r\n"),
         submit_not_run{errc::upstream_draining}},
        {answer("504 Late"), submit_not_run{errc::deadline_exceeded}},
        {answer("499 Cancelled"), submit_unknown{errc::cancelled}},
        {answer("500 Fault", "{}"), submit_unknown{errc::upstream_failed}},
        {answer("200 OK", "{nonsense"), submit_unknown{errc::upstream_failed}},
    };
    for (auto const& [text, outcome] : cases) {
        auto const n = outcomes.size();
        submit();
        CHECK(run_until(io, [&] {
            return !server.peers.empty() &&
                   server.peers[0]->count("POST") == n + 1;
        }));
        server.peers[0]->send(identified(text, *server.peers[0]));
        CHECK(wait_outcomes(n + 1));
        CHECK(outcomes[n] == outcome);
    }
    CHECK(server.peers[0]->has("Idempotency-Key: k1\r\n"));
    CHECK(server.peers[0]->has(R"({"group":"g","request":{"a":1}})"));
    submit();
    CHECK(run_until(io, [&] { return server.peers[0]->count("POST") == 10; }));
    server.peers[0]->reset();
    CHECK(wait_outcomes(10));
    CHECK(outcomes[9] == submit_outcome(submit_unknown{errc::upstream_reset}));
}
