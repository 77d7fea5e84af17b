#pragma once

#include "adapters/peer/peer_link.hpp"
#include "support/raw_peer.hpp"

#include <CppUTest/TestHarness.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace snipemill::test {

// An empty SETTINGS frame, with which each side begins.
inline std::string const settings_frame("\0\0\0\x04\0\0\0\0\0", 9);

// A request and what the client reported of it.
struct open_request
{
    std::vector<std::string> messages;
    std::optional<stream_failed> failed;
    bool ended = false;
    int finals = 0;
    std::shared_ptr<peer_stream> stream;

    bool done() const { return finals > 0; }
};

// A server and a client on loopback, with what they report.
struct peer_link_fixture : Utest
{
    boost::asio::io_context io;
    std::optional<peer_server> server;
    std::optional<peer_client> client;
    std::vector<peer_request> served;
    std::vector<std::shared_ptr<open_request>> requests;
    int gone = 0;
    std::uint16_t port = 0;

    void start(peer_link_options const& server_options = {},
               peer_link_options const& client_options = {})
    {
        server.emplace(io, server_options, [this](peer_request r) {
            *r.on_gone = [this] { ++gone; };
            r.on_gone = nullptr;
            served.push_back(std::move(r));
        });
        port = server->port();
        client.emplace(io, client_options);
    }
    std::shared_ptr<open_request> open(std::string message,
                                       std::string const& name = "h1")
    {
        auto it = std::make_shared<open_request>();
        requests.push_back(it);
        it->stream = client->open(
            {host_id(name), "127.0.0.1", port}, "/peer/query",
            std::move(message), [it](stream_event event) {
                CHECK(!it->done());
                if (auto* const text = std::get_if<std::string>(&event)) {
                    it->messages.push_back(std::move(*text));
                    return;
                }
                ++it->finals;
                it->ended = std::holds_alternative<stream_ended>(event);
                if (auto* const failed = std::get_if<stream_failed>(&event)) {
                    it->failed = *failed;
                }
            });
        CHECK(!it->done());
        return it;
    }
    bool wait_served(std::size_t n)
    {
        return run_until(io, [&] { return served.size() == n; });
    }
    bool wait_done(std::shared_ptr<open_request> const& it)
    {
        return run_until(io, [&] { return it->done(); });
    }
    void teardown() override
    {
        client.reset();
        server.reset();
        served.clear();
        requests.clear();
        io.restart();
        io.poll();
    }
};

} // namespace snipemill::test
