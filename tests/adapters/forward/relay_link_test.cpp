#include "adapters/codec/relay_codec.hpp"
#include "adapters/forward/relay_link.hpp"
#include "support/raw_peer.hpp"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <vector>

using namespace snipemill;
using namespace snipemill::test;

TEST_GROUP(relay_link)
{
    boost::asio::io_context io;
    std::vector<peer_request> served;
    int disconnects = 0;
    std::optional<peer_server> server;
    std::optional<relay_link> link;
    std::vector<relay_event> events;

    void setup() override
    {
        server.emplace(io, peer_link_options{}, [this](peer_request r) {
            *r.on_gone = [this] { ++disconnects; };
            r.on_gone = nullptr;
            served.push_back(std::move(r));
        });
        link.emplace(io);
    }
    fleet_host relay() const
    {
        return {.name = "r", .ip = "127.0.0.1", .relay_port = server->port()};
    }
    std::shared_ptr<relay_call> send_query()
    {
        relay_query const query{.route = "q",
                                .left = from_ms(500),
                                .request =
                                    std::make_shared<forward_request const>(
                                        forward_request{.id = "7"})};
        return link->run(relay(), query, [this](relay_event e) {
            events.push_back(std::move(e));
        });
    }
    bool wait_events(std::size_t n)
    {
        return run_until(io, [&] { return events.size() == n; });
    }
    bool wait_served(std::size_t n)
    {
        return run_until(io, [&] { return served.size() == n; });
    }
};

// Guards against losing an answer or delivering it twice.
TEST(relay_link, passes_on_the_agreement_and_the_answer)
{
    auto const call = send_query();
    CHECK(wait_served(1));
    STRCMP_EQUAL(relay_paths::run, served[0].path.c_str());
    STRCMP_EQUAL("7",
                 decode_relay_query(served[0].message)->request->id.c_str());
    served[0].responder->send(encode(relay_accepted{}), false);
    CHECK(wait_events(1));
    served[0].responder->send(
        encode(relay_answer{.answer = merged_answer{.body = "x"}}), true);
    CHECK(wait_events(2));
    auto const& answer = std::get<relay_answer>(events[1]);
    STRCMP_EQUAL("x", std::get<merged_answer>(answer.answer).body.c_str());
    LONGS_EQUAL(0, disconnects);
}

// Guards against a relay that keeps running the query of a cancelled call.
TEST(relay_link, a_cancelled_call_ends_at_the_relay)
{
    auto const call = send_query();
    CHECK(wait_served(1));
    call->cancel();
    CHECK(run_until(io, [&] { return disconnects == 1; }));
    CHECK(events.empty());
}

// Guards against treating a stream that ends early as a complete answer.
TEST(relay_link, a_stream_that_ends_without_an_answer_is_lost)
{
    auto const call = send_query();
    CHECK(wait_served(1));
    served[0].responder->send(encode(relay_accepted{}), true);
    CHECK(wait_events(2));
    CHECK(std::get<relay_lost>(events[1]).sent);
}

// Guards against reporting a query as possibly run when the connection was
// refused.
TEST(relay_link, a_relay_that_cannot_be_reached_has_run_nothing)
{
    using boost::asio::ip::tcp;
    auto closed_port = relay();
    {
        tcp::acceptor const closed(
            io, {boost::asio::ip::address_v4::loopback(), 0});
        closed_port.relay_port = closed.local_endpoint().port();
    }
    auto const call = link->run(
        closed_port, {.request = std::make_shared<forward_request const>()},
        [this](relay_event e) { events.push_back(std::move(e)); });
    CHECK(wait_events(1));
    CHECK_FALSE(std::get<relay_lost>(events[0]).sent);
}

// A relay stops responding while calls are open. Guards against waiting for
// the relay until the callers' deadlines.
TEST(relay_link, calls_of_a_silent_relay_are_lost)
{
    using boost::asio::ip::tcp;
    tcp::acceptor const silent(io,
                               {boost::asio::ip::address_v4::loopback(), 0});
    auto const call =
        link->run({.name = "s",
                   .ip = "127.0.0.1",
                   .relay_port = silent.local_endpoint().port()},
                  {.request = std::make_shared<forward_request const>()},
                  [this](relay_event e) { events.push_back(std::move(e)); });
    CHECK(wait_events(1));
    CHECK(std::get<relay_lost>(events[0]).sent);
}

// Guards against sending queries to a draining relay, and against a probe that
// reports more than one event.
TEST(relay_link, a_probe_tells_once_whether_the_relay_takes_queries)
{
    auto const on_probe = [this](relay_event e) {
        events.push_back(std::move(e));
    };
    auto const first = link->probe(relay(), on_probe);
    CHECK(wait_served(1));
    STRCMP_EQUAL(relay_paths::probe, served[0].path.c_str());
    served[0].responder->send(encode(relay_accepted{}), true);
    CHECK(wait_events(1));
    auto const second = link->probe(relay(), on_probe);
    CHECK(wait_served(2));
    served[1].responder->send(encode(relay_refused{relay_refusal::leaving}),
                              true);
    CHECK(wait_events(2));
    CHECK(std::holds_alternative<relay_accepted>(events[0]));
    CHECK(std::get<relay_refused>(events[1]).reason == relay_refusal::leaving);
}
