#pragma once

#include "fleet/test_fleet.hpp"
#include "platform/names.hpp"
#include "support/raw_peer.hpp"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace snipemill::test {

// The real forwarding hosts between a stand-in store and stand-in upstreams.
class forward_fixture
{
public:
    explicit forward_fixture(std::string const& test)
        : folder_(std::filesystem::temp_directory_path() /
                  (test + "-" + std::to_string(getpid())))
    {
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directories(folder_);
    }
    ~forward_fixture()
    {
        fleet.reset();
        std::filesystem::remove_all(folder_);
    }
    forward_fixture(forward_fixture const&) = delete;
    forward_fixture& operator=(forward_fixture const&) = delete;

    // Starts the hosts. Returns whether all of them have become ready.
    bool start(std::size_t hosts, unsigned route_timeout_ms,
               std::string const& extra_settings = "",
               std::vector<standin::account_state> const& accounts = {})
    {
        fleet.emplace(io, soak::fleet_options{.program = SNIPEMILL_PROGRAM,
                                              .folder = folder_,
                                              .hosts = hosts,
                                              .replicas = 5,
                                              .extra_settings = extra_settings,
                                              .memory_mb = memory_mb});
        auto state = fleet->manifest();
        state.version += 1;
        state.timeout_ms = route_timeout_ms;
        state.accounts = accounts;
        fleet->publish(state);
        return std::all_of(
            fleet->hosts().begin(), fleet->hosts().end(), [&](auto const& it) {
                return run_until(io, [&] { return is_ready(*it); });
            });
    }
    bool is_ready(soak::host const& it)
    {
        boost::asio::ip::tcp::socket probe(io);
        boost::system::error_code ec;
        probe.connect(
            {boost::asio::ip::address_v4::loopback(), it.readiness_port}, ec);
        if (ec) {
            return false;
        }
        auto const peer = raw_peer::connect(io, it.readiness_port);
        peer->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        run_until(io, [&] { return peer->closed || peer->has("\r\n\r\n"); });
        return peer->has("HTTP/1.1 200");
    }
    void run_for(std::chrono::milliseconds time)
    {
        auto const end = std::chrono::steady_clock::now() + time;
        run_until(io, [&] { return std::chrono::steady_clock::now() >= end; });
    }
    static std::string request(std::string const& path, std::string const& id,
                               unsigned time_left_ms)
    {
        namespace names = platform::names;
        return "GET " + path + " HTTP/1.1\r\nHost: soak\r\n" +
               names::request_id + ": " + id + "\r\n" + names::time_left +
               ": " + std::to_string(time_left_ms) + "\r\n\r\n";
    }

    // Sends a request to each host and returns the answers.
    std::vector<std::string> ask_all(std::string const& path,
                                     unsigned time_left_ms)
    {
        std::vector<std::shared_ptr<raw_peer>> peers;
        for (auto const& it : fleet->hosts()) {
            peers.push_back(raw_peer::connect(io, it->caller_port));
            peers.back()->send(
                request(path, "r" + std::to_string(next_id_++), time_left_ms));
        }
        run_until(io, [&] {
            return std::all_of(peers.begin(), peers.end(), [](auto const& it) {
                return it->has("\r\n\r\n");
            });
        });
        std::vector<std::string> out(peers.size());
        std::transform(peers.begin(), peers.end(), out.begin(),
                       [](auto const& it) { return it->in; });
        return out;
    }

    boost::asio::io_context io;
    std::optional<soak::test_fleet> fleet;
    std::size_t memory_mb = 0; // of each host; 0: not stated

private:
    std::filesystem::path folder_;
    std::size_t next_id_ = 0; // of requests
};

} // namespace snipemill::test
