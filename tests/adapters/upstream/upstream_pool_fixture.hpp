#pragma once

#include "adapters/upstream/upstream_pool.hpp"
#include "support/raw_peer.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipemill::test {

inline std::string answer(std::string const& status,
                          std::string const& body = "",
                          std::string const& headers = "")
{
    return "HTTP/1.1 " + status + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The examples of docs/upstream-protocol.md.
inline std::string const good_body =
    R"({"version": 7, "partition_count": 64,)"
    R"( "partitions": [{"id": 3, "documents": 120, "matches": 4}],)"
    R"( "records": [{"key": "order-17", "rank": 17.5, "partition": 3,)"
    R"( "body": {"depot": "Kelaniya"}}]})";
inline std::string const good_status =
    R"({"starting": true, "draining": false, "in_flight": 1,)"
    R"( "held": [{"version": 7, "partition_count": 64,)"
    R"( "partitions": [{"id": 3, "documents": 120}]}]})";
inline std::string const good = answer("200 OK", good_body);

// The id of the last request on a connection, as a header line.
inline std::string last_id(raw_peer const& peer)
{
    auto const from = peer.in.rfind("X-Request-Id: ");
    CHECK(from != std::string::npos);
    auto const to = peer.in.find("\r\n", from);
    return peer.in.substr(from, to + 2 - from);
}
// The answer with the id of the last request on a connection.
inline std::string identified(std::string text, raw_peer const& peer)
{
    return text.insert(text.find("\r\n") + 2, last_id(peer));
}

// What good says.
inline bool is_good(sub_result const& result)
{
    auto const* const it = std::get_if<sub_answer>(&result);
    std::vector<record> const records = {{.key = "order-17",
                                          .rank = 17.5,
                                          .partition = partition_id(3),
                                          .body = R"({"depot":"Kelaniya"})"}};
    return it != nullptr && it->version == index_version(7) &&
           it->partition_count == 64 && it->partitions.size() == 1 &&
           it->partitions[0].id == partition_id(3) &&
           it->partitions[0].documents == 120 &&
           it->partitions[0].matches == 4 && it->records == records;
}

// A pool with one upstream, which the test plays by hand.
struct upstream_pool_fixture : Utest
{
    boost::asio::io_context io;
    raw_server server{io};
    std::vector<sub_result> results;
    std::vector<submit_outcome> outcomes;
    std::vector<upstream_status> statuses;
    std::optional<upstream_pool> pool;
    std::uint32_t next_handle = 0;
    std::set<std::shared_ptr<raw_peer>> ended; // by end_answer

    std::string address() { return "127.0.0.1:" + std::to_string(port); }
    std::uint16_t port = server.port();

    void start(std::uint32_t warm, std::uint32_t max,
               upstream_pool_options const& options = {})
    {
        pool.emplace(io, options);
        configure(warm, max);
    }
    void configure(std::uint32_t warm, std::uint32_t max)
    {
        pool->configure({.upstream = upstream_id(1),
                         .address = address(),
                         .warm = warm,
                         .max = max});
    }
    slot_handle query(duration remaining = from_ms(20'000))
    {
        slot_handle const h{next_handle++, 1};
        pool->query({.handle = h,
                     .upstream = upstream_id(1),
                     .request = {.version = index_version(7),
                                 .remaining = remaining,
                                 .body = "{}"}},
                    [this, h](slot_handle got, sub_result r) {
                        CHECK(got == h);
                        results.push_back(std::move(r));
                    });
        return h;
    }
    slot_handle submit(duration remaining = from_ms(20'000))
    {
        slot_handle const h{next_handle++, 1};
        pool->submit({.handle = h,
                      .upstream = upstream_id(1),
                      .request = {.id = request_id(5),
                                  .group = "g",
                                  .key = "k1",
                                  .body = "{\"a\":1}",
                                  .remaining = remaining}},
                     [this](slot_handle, submit_result r) {
                         CHECK(r.id == request_id(5));
                         outcomes.push_back(std::move(r.outcome));
                     });
        return h;
    }
    void cancel(slot_handle h)
    {
        pool->cancel({.handle = h, .upstream = upstream_id(1)});
    }
    // The connection that has received the text, waiting for it.
    std::shared_ptr<raw_peer> wait_for(std::string const& text)
    {
        std::shared_ptr<raw_peer> found;
        CHECK(run_until(io, [&] {
            for (auto const& it : server.peers) {
                if (it->has(text)) {
                    found = it;
                }
            }
            return found != nullptr;
        }));
        return found;
    }
    // Sends the text on the connection with the only open request, the n-th
    // of all, and ends the connection.
    void end_answer(std::size_t n, std::string const& text)
    {
        auto const requests = [this] {
            std::size_t all = 0;
            for (auto const& it : server.peers) {
                all += it->count("POST");
            }
            return all;
        };
        CHECK(run_until(io, [&] { return requests() == n + 1; }));
        for (auto const& it : server.peers) {
            if (it->has("POST") && !it->closed && ended.insert(it).second) {
                it->send(text);
                it->half_close();
            }
        }
    }
    bool wait_peers(std::size_t n)
    {
        return run_until(io, [&] { return server.peers.size() == n; });
    }
    bool wait_results(std::size_t n)
    {
        return run_until(io, [&] { return results.size() == n; });
    }
    bool wait_outcomes(std::size_t n)
    {
        return run_until(io, [&] { return outcomes.size() == n; });
    }
    sub_outcome failed(std::size_t i)
    {
        CHECK(std::holds_alternative<sub_failure>(results[i]));
        return std::get<sub_failure>(results[i]).outcome;
    }
    void settle()
    {
        io.restart();
        io.poll();
    }
    void wait_ms(int n)
    {
        io.restart();
        io.run_for(std::chrono::milliseconds(n));
    }
    void teardown() override
    {
        pool.reset();
        server.close();
        settle();
    }
};

} // namespace snipemill::test
