#include "forward_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace snipemill::test;
namespace names = snipemill::platform::names;

namespace {

constexpr unsigned route_timeout_ms = 4000;
constexpr unsigned time_left_ms = 4000;
constexpr int max_requests = 200; // a failed upstream is avoided

} // namespace

// The real host with an upstream that responds with an invalid status.
TEST_GROUP(invalid_status)
{
    forward_fixture f{"invalid-status"};
    raw_server faulty{f.io};
    std::string status;

    void start()
    {
        CHECK(f.start(1, route_timeout_ms));
        f.fleet->store().put(
            names::upstreams, "i-faulty",
            standin::upstream_document(
                {.instance = "i-faulty", .service = standin::single_service},
                "127.0.0.1:" + std::to_string(faulty.port()), "a", false));
        CHECK(run_until(f.io, [&] { return !faulty.peers.empty(); }));
    }
    // Removes the other upstreams of the service; the host takes a while to
    // notice, so that they still answer.
    void keep_faulty_only()
    {
        for (auto const& it : f.fleet->upstreams()) {
            if (it->server->options().service == standin::single_service) {
                f.fleet->remove_entry(*it);
            }
        }
    }
    // Responds to the requests that the faulty upstream has; returns how many.
    std::size_t respond()
    {
        std::size_t n = 0;
        for (auto const& it : faulty.peers) {
            if (it->has("\r\n\r\n")) {
                it->in.clear();
                it->send("HTTP/1.1 " + status +
                         " Odd\r\nContent-Length: 0\r\n\r\n");
                ++n;
            }
        }
        return n;
    }
    // Sends a request and returns what the caller got; counts in `seen` how
    // often the faulty upstream had it.
    std::string call(std::string const& path, std::string const& id,
                     std::size_t& seen)
    {
        auto const caller =
            raw_peer::connect(f.io, f.fleet->hosts()[0]->caller_port);
        caller->send(forward_fixture::request(path, id, time_left_ms));
        CHECK(run_until(f.io, [&] {
            seen += respond();
            return caller->has("\r\n\r\n");
        }));
        return caller->in;
    }
    // Sends requests until the faulty upstream has had one, and returns what
    // its caller got.
    std::string call_until_seen(std::string const& path)
    {
        std::size_t seen = 0;
        std::string answer;
        for (int i = 0; i < max_requests && seen == 0; ++i) {
            f.run_for(std::chrono::milliseconds(100));
            answer = call(path, "r-" + status + "-" + std::to_string(i), seen);
        }
        UNSIGNED_LONGS_EQUAL(1, seen);
        return answer;
    }
};

// Guards against a request that may run once only and waits until its deadline
// (504) for a final response, or gets the invalid status.
TEST(invalid_status, a_request_that_may_run_once_gets_502)
{
    start();
    keep_faulty_only();
    for (std::string const it : {"000", "001", "099", "101", "600", "999"}) {
        status = it;
        auto const answer = call_until_seen("/once/x");
        CHECK_TEXT(answer.starts_with("HTTP/1.1 502"),
                   (it + ": " + answer.substr(0, 300)).c_str());
    }
}

// Guards against a repeatable request that fails although another upstream of
// its service works.
TEST(invalid_status, a_repeatable_request_is_retried_elsewhere)
{
    start();
    for (std::string const it : {"000", "600"}) {
        status = it;
        auto const answer = call_until_seen("/one/x");
        CHECK_TEXT(answer.starts_with("HTTP/1.1 200"),
                   (it + ": " + answer.substr(0, 300)).c_str());
    }
}
