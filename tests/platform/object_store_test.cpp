#include "platform/object_store.hpp"
#include "support/raw_peer.hpp"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace snipemill;
using namespace snipemill::test;

namespace {

std::string answer(std::string const& status, std::string const& body)
{
    return "HTTP/1.1 " + status +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

} // namespace

TEST_GROUP(object_store)
{
    boost::asio::io_context io;
    raw_server server{io};
    platform::object_store store{io,
                                 {.ip = "127.0.0.1",
                                  .port = server.port(),
                                  .call_timeout = from_ms(200)},
                                 nullptr};
    std::optional<std::variant<store_page, store_error>> page;
    std::optional<std::variant<store_events, store_error>> events;

    void list(std::string after = "")
    {
        store.list(store_kind::upstreams, std::move(after), read_age::current,
                   [this](auto result) { page = std::move(result); });
    }
    void watch()
    {
        store.watch(store_kind::manifests, 530, from_ms(200),
                    read_age::may_be_old,
                    [this](auto result) { events = std::move(result); });
    }
    // Waits for a request and returns its request line.
    std::string request()
    {
        CHECK(run_until(io, [&] {
            return !server.peers.empty() &&
                   server.peers.back()->has("\r\n\r\n");
        }));
        auto const& in = server.peers.back()->in;
        return in.substr(0, in.find("\r\n"));
    }
};

TEST(object_store, lists_the_entries_after_a_name)
{
    list("i-1");
    STRCMP_EQUAL("GET /v1/objects/servers?after=i-1 HTTP/1.1",
                 request().c_str());
    server.peers[0]->send(answer(
        "200 OK", R"({"items": [], "truncated": true, "store_revision": 3})"));
    CHECK(run_until(io, [&] { return page.has_value(); }));
    CHECK(std::get<store_page>(*page).truncated);
}

TEST(object_store, watches_from_a_revision)
{
    watch();
    STRCMP_EQUAL(
        "GET /v1/objects/config?watch=530&wait_ms=200&stale_ok=1 HTTP/1.1",
        request().c_str());
    server.peers[0]->send(
        answer("200 OK", R"({"events": [], "store_revision": 531})"));
    CHECK(run_until(io, [&] { return events.has_value(); }));
    UNSIGNED_LONGS_EQUAL(531, std::get<store_events>(*events).revision);
}

// Guards against a read of a kind that is behind which gets outdated data too.
TEST(object_store, a_current_read_does_not_accept_outdated_data)
{
    store.watch(store_kind::manifests, 530, duration::zero(), read_age::current,
                [this](auto result) { events = std::move(result); });
    STRCMP_EQUAL("GET /v1/objects/config?watch=530&wait_ms=0 HTTP/1.1",
                 request().c_str());
}

// Guards against a host that is never counted because a replace fails while its
// entry does not exist, and against a restarted host whose create fails because
// its previous process left an entry.
TEST(object_store, creates_or_replaces_the_entry_of_a_host)
{
    std::optional<bool> written;
    auto const put = [&](bool likely_exists) {
        written.reset();
        store.put_host("h1", {.renewed_ms = 17}, likely_exists,
                       [&](bool done) { written = done; });
    };
    auto const expect = [&](char const* line, char const* status) {
        STRCMP_EQUAL(line, request().c_str());
        CHECK(server.peers[0]->has(R"({"meta":{"name":"h1"},"spec":)"));
        server.peers[0]->in.clear();
        server.peers[0]->send(answer(status, "{}"));
    };
    auto const* const create = "POST /v1/objects/snipemill-hosts HTTP/1.1";
    auto const* const replace = "PUT /v1/objects/snipemill-hosts/h1 HTTP/1.1";
    put(true);
    expect(replace, "404 Not Found");
    expect(create, "201 Created");
    CHECK(run_until(io, [&] { return written.has_value(); }));
    CHECK(*written);
    put(false);
    expect(create, "409 Conflict");
    expect(replace, "200 OK");
    CHECK(run_until(io, [&] { return written.has_value(); }));
    CHECK(*written);
}

// Guards against reporting a revision whose history is gone as an outage: the
// mirror would watch from the same revision for ever.
TEST(object_store, tells_a_lost_history_from_an_outage)
{
    watch();
    request();
    server.peers[0]->send(answer("410 Gone", "{}"));
    CHECK(run_until(io, [&] { return events.has_value(); }));
    CHECK(std::get<store_error>(*events) == store_error::history_gone);
}

// Guards against treating an error status or an invalid body as an empty page.
TEST(object_store, other_answers_are_an_outage)
{
    for (auto const* const status :
         {"503 Service Unavailable", "429 Too Many Requests", "200 OK"}) {
        page.reset();
        list();
        request();
        server.peers.back()->send(answer(status, "not json"));
        server.peers.back()->in.clear();
        CHECK(run_until(io, [&] { return page.has_value(); }));
        CHECK(std::get<store_error>(*page) == store_error::unavailable);
    }
}

// Guards against a watch that never ends when the store does not answer.
TEST(object_store, a_silent_store_is_an_outage)
{
    watch();
    CHECK(run_until(io, [&] { return events.has_value(); }));
    CHECK(std::get<store_error>(*events) == store_error::unavailable);
}

// Guards against entries of a restored store that are taken for those before,
// and against an answer without a readable era that counts as era 0.
TEST(object_store, reads_the_era_of_answers)
{
    auto const with_era = [](std::string const& era) {
        auto out =
            answer("200 OK",
                   R"({"items": [], "truncated": false, "store_revision": 3})");
        return out.insert(out.find("\r\n") + 2, "Store-Era: " + era + "\r\n");
    };
    list();
    request();
    server.peers[0]->in.clear();
    server.peers[0]->send(with_era("4"));
    CHECK(run_until(io, [&] { return page.has_value(); }));
    UNSIGNED_LONGS_EQUAL(4, std::get<store_page>(*page).era);
    page.reset();
    list();
    request();
    server.peers[0]->send(with_era("4x"));
    CHECK(run_until(io, [&] { return page.has_value(); }));
    CHECK(std::get<store_error>(*page) == store_error::unavailable);
}

// Guards against a change of behaviour with a store that has no eras.
TEST(object_store, an_answer_without_an_era_is_of_era_0)
{
    watch();
    request();
    server.peers[0]->send(
        answer("200 OK", R"({"events": [], "store_revision": 531})"));
    CHECK(run_until(io, [&] { return events.has_value(); }));
    UNSIGNED_LONGS_EQUAL(0, std::get<store_events>(*events).era);
}
