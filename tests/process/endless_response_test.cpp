#include "forward_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <set>
#include <string>
#include <vector>

using namespace snipemill::test;
using std::chrono::milliseconds;
namespace names = snipemill::platform::names;

// The program under a sanitizer holds several times the memory that it counts.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define SNIPEMILL_SANITIZED 1
#else
#define SNIPEMILL_SANITIZED 0
#endif

namespace {

// The smallest memory that the settings allow; the peak must stay below it.
constexpr std::size_t memory_mb = 32;
constexpr std::size_t peak_limit = memory_mb * 1024 * 1024;

// Requests whose responses do not end, each 6 MB long when the test stops: in
// all more than twice the memory of the host.
constexpr std::size_t crowd_size = 12;
constexpr std::size_t block_size = 128 * 1024;
constexpr int blocks = 48;

constexpr unsigned route_timeout_ms = 20'000;

std::size_t peak_memory(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(6)) * 1024;
        }
    }
    return 0;
}

} // namespace

// The real host with an upstream whose responses do not end.
TEST_GROUP(endless_response)
{
    forward_fixture f{"endless-response"};
    raw_server faulty{f.io};
    std::vector<std::shared_ptr<raw_peer>> callers;

    void start()
    {
        f.memory_mb = memory_mb;
        CHECK(f.start(1, route_timeout_ms));
        f.fleet->store().put(
            names::upstreams, "i-faulty",
            standin::upstream_document(
                {.instance = "i-faulty", .service = standin::single_service},
                "127.0.0.1:" + std::to_string(faulty.port()), "a", false));
        CHECK(run_until(f.io, [&] { return !faulty.peers.empty(); }));
        for (auto const& it : f.fleet->upstreams()) {
            if (it->server->options().service == standin::single_service) {
                f.fleet->remove_entry(*it);
            }
        }
        f.run_for(milliseconds(3000)); // the host has noticed
    }
    void run(std::string const& head, std::string const& block)
    {
        start();
        auto& host = *f.fleet->hosts()[0];
        for (std::size_t i = 0; i < crowd_size; ++i) {
            callers.push_back(raw_peer::connect(f.io, host.caller_port));
            callers.back()->send(forward_fixture::request(
                "/once/x", "r-" + std::to_string(i), route_timeout_ms));
        }
        std::set<raw_peer*> begun;
        for (int i = 0; i < blocks; ++i) {
            for (auto const& it : faulty.peers) {
                if (it->closed || !it->has("\r\n\r\n")) {
                    continue;
                }
                it->send(begun.insert(it.get()).second ? head + block : block);
            }
            f.run_for(milliseconds(20));
        }
        f.run_for(milliseconds(500));
        CHECK(begun.size() > 1);
        CHECK(host.process->running());
        auto const peak = peak_memory(host.process->pid());
        if (!SNIPEMILL_SANITIZED) {
            CHECK_TEXT(peak <= peak_limit, std::to_string(peak).c_str());
        }
        auto const ordinary = raw_peer::connect(f.io, host.caller_port);
        ordinary->send(
            forward_fixture::request("/wide/x", "ordinary", route_timeout_ms));
        run_until(f.io, [&] { return ordinary->has("\r\n\r\n"); });
        CHECK_TEXT(ordinary->has("HTTP/1.1 200"),
                   ordinary->in.substr(0, 300).c_str());
    }
};

// Guards against keeping all of a response whose end is the close of its
// connection.
TEST(endless_response, delimited_by_the_close_of_the_connection)
{
    run("HTTP/1.1 200 OK\r\n\r\n", std::string(block_size, 'x'));
}

// The same in chunks.
TEST(endless_response, in_chunks)
{
    run("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "20000\r\n" + std::string(block_size, 'x') + "\r\n");
}
