#include "forward_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

using namespace snipemill::test;
using std::chrono::milliseconds;

// The program under a sanitizer holds several times the memory that it counts.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define SNIPEMILL_SANITIZED 1
#else
#define SNIPEMILL_SANITIZED 0
#endif

namespace {

// Memory that the settings give to the host, the smallest that they allow. Its
// peak must stay below this: above it the platform kills the process.
constexpr std::size_t memory_mb = 32;
constexpr std::size_t peak_limit = memory_mb * 1024 * 1024;

// Connections of one crowd. All its requests together, 260 KB each, are about
// three quarters of the memory, without what they take when they are parsed.
constexpr std::size_t crowd_size = 96;

// Descriptors of a host: listeners, timers, the store and a few connections to
// each of 18 upstreams, and for each client its connection and one to the
// upstream that runs its request.
constexpr std::size_t max_descriptors = 128 + 2 * crowd_size;

// Within the default limits of 262,144 bytes for a body and 16,384 for a
// header.
constexpr std::size_t body_size = 260'000;
constexpr std::size_t short_fields = 2300;

constexpr std::size_t pipelined_requests = 400;

constexpr unsigned route_timeout_ms = 900;
constexpr unsigned time_left_ms = 4000;

// Time for which a crowd acts before the checks.
constexpr milliseconds acting_time{2500};

enum class place
{
    route,
    unknown_path,
    readiness
};

constexpr place places[] = {place::route, place::unknown_path,
                            place::readiness};

char const* path_of(place where)
{
    return where == place::route ? "/one/x" : "/nothing/x";
}

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

std::size_t open_descriptors(pid_t pid)
{
    std::size_t n = 0;
    for (auto const& it : std::filesystem::directory_iterator(
             "/proc/" + std::to_string(pid) + "/fd")) {
        n += it.path().empty() ? 0 : 1;
    }
    return n;
}

std::string head(place where, std::string const& fields,
                 std::string const& length)
{
    return std::string("POST ") + path_of(where) +
           " HTTP/1.1\r\nHost: soak\r\n" + fields + length + "\r\n";
}

std::string content_length(std::size_t n)
{
    return "Content-Length: " + std::to_string(n) + "\r\n";
}

std::string many_fields()
{
    std::string out;
    for (std::size_t i = 0; i < short_fields; ++i) {
        out += "a:b\r\n";
    }
    return out;
}

std::string chunk(std::size_t n)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", n);
    return size + std::string(n, 'x') + "\r\n";
}

} // namespace

// The real host with little memory and a crowd of clients.
TEST_GROUP(misbehaving_clients)
{
    std::optional<forward_fixture> f;
    std::vector<std::shared_ptr<raw_peer>> crowd;

    void start()
    {
        crowd.clear();
        f.reset();
        f.emplace("misbehaving-clients");
        f->memory_mb = memory_mb;
        CHECK(f->start(1, route_timeout_ms));
    }
    soak::host& host()
    {
        return *f->fleet->hosts()[0];
    }
    void teardown() override
    {
        crowd.clear();
        f.reset();
    }
    void gather(place where)
    {
        auto const port = where == place::readiness ? host().readiness_port
                                                    : host().caller_port;
        for (std::size_t i = 0; i < crowd_size; ++i) {
            crowd.push_back(raw_peer::connect(f->io, port));
        }
    }
    // Sends a text in pieces, a piece of each client in turn.
    void send_in_pieces(std::string const& text, std::size_t piece)
    {
        for (std::size_t at = 0; at < text.size(); at += piece) {
            for (auto const& it : crowd) {
                if (!it->closed) {
                    it->send(text.substr(at, piece));
                }
            }
            f->run_for(milliseconds(1));
        }
    }
    void send(std::string const& text)
    {
        send_in_pieces(text, text.size());
    }
    // What holds while the crowd is there.
    void check_host(place where)
    {
        f->run_for(acting_time);
        auto const text = "place " + std::to_string(static_cast<int>(where));
        CHECK_TEXT(host().process->running(), text.c_str());
        auto const pid = host().process->pid();
        auto const peak = peak_memory(pid);
        auto const descriptors = open_descriptors(pid);
        if (!SNIPEMILL_SANITIZED) {
            CHECK_TEXT(peak <= peak_limit,
                       (text + ", peak " + std::to_string(peak)).c_str());
        }
        CHECK_TEXT(
            descriptors <= max_descriptors,
            (text + ", descriptors " + std::to_string(descriptors)).c_str());
        check_ordinary(text);
        CHECK_TEXT(f->is_ready(host()), text.c_str());
    }
    void check_ordinary(std::string const& text)
    {
        auto const peer = raw_peer::connect(f->io, host().caller_port);
        peer->send(
            forward_fixture::request("/one/x", "ordinary", time_left_ms));
        run_until(f->io, [&] { return peer->closed || peer->has("\r\n\r\n"); });
        CHECK_TEXT(peer->has("HTTP/1.1 200"),
                   (text + ": " + peer->in.substr(0, 300)).c_str());
    }
};

// Guards against bodies of legal size that stop one byte short and together
// take more than the memory of the host.
TEST(misbehaving_clients, bodies_in_one_piece_one_byte_short)
{
    for (auto const where : places) {
        start();
        gather(where);
        send(head(where, "", content_length(body_size)) +
             std::string(body_size - 1, 'x'));
        check_host(where);
    }
}

// The same in small pieces, so that all bodies grow together.
TEST(misbehaving_clients, bodies_in_small_pieces_one_byte_short)
{
    for (auto const where : places) {
        start();
        gather(where);
        send_in_pieces(head(where, "", content_length(body_size)) +
                           std::string(body_size - 1, 'x'),
                       2000);
        check_host(where);
    }
}

// The same in chunks, whose total is not known in advance. Guards against not
// counting the unused part of a string that grows.
TEST(misbehaving_clients, bodies_in_chunks_without_the_last_one)
{
    for (auto const where : places) {
        start();
        gather(where);
        send(head(where, "", "Transfer-Encoding: chunked\r\n"));
        for (std::size_t sent = 0; sent + 4000 < body_size; sent += 4000) {
            send(chunk(4000));
        }
        check_host(where);
    }
}

// Guards against counting the bytes of a header instead of the memory that its
// parsed fields take.
TEST(misbehaving_clients, thousands_of_short_fields)
{
    for (auto const where : places) {
        start();
        gather(where);
        send(head(where, many_fields(), content_length(body_size)) +
             std::string(body_size - 1, 'x'));
        check_host(where);
    }
}

// Guards against keeping what is far over the limit of a body, stated or not.
TEST(misbehaving_clients, bodies_far_over_the_limit)
{
    constexpr std::size_t sent_bytes = 4 * 1024 * 1024;
    for (auto const where : places) {
        start();
        gather(where);
        bool stated = false;
        for (auto const& it : crowd) {
            stated = !stated;
            it->send(head(where, "",
                          stated ? content_length(64 * sent_bytes)
                                 : "Transfer-Encoding: chunked\r\n"));
        }
        for (std::size_t sent = 0; sent < sent_bytes; sent += 256 * 1024) {
            send(chunk(256 * 1024));
        }
        check_host(where);
    }
}

// Guards against connections that read no response and take all the capacity of
// the host and of its upstreams: an ordinary request is answered while they do
// and afterwards.
TEST(misbehaving_clients, pipelined_requests_whose_responses_are_not_read)
{
    for (auto const where : places) {
        start();
        gather(where);
        std::string text;
        for (std::size_t i = 0; i < pipelined_requests; ++i) {
            text += "GET " + std::string(path_of(where)) +
                    " HTTP/1.1\r\nHost: soak\r\n\r\n";
        }
        for (auto const& it : crowd) {
            it->stop_reading();
        }
        send(text);
        f->run_for(milliseconds(200));
        check_ordinary("while requests of the crowd are run");
        check_host(where);
    }
}

// Guards against clients that send a byte now and then, or read as slowly.
TEST(misbehaving_clients, slow_senders_and_slow_readers)
{
    for (auto const where : places) {
        start();
        gather(where);
        auto const text = head(where, "", content_length(body_size));
        std::string many;
        for (std::size_t i = 0; i < pipelined_requests; ++i) {
            many += "GET " + std::string(path_of(where)) +
                    " HTTP/1.1\r\nHost: soak\r\n\r\n";
        }
        for (std::size_t i = 0; i < crowd.size(); i += 2) {
            crowd[i]->read_slowly(16, milliseconds(20));
            crowd[i]->send(many);
        }
        for (std::size_t at = 0; at < text.size(); ++at) {
            for (std::size_t i = 1; i < crowd.size(); i += 2) {
                if (!crowd[i]->closed) {
                    crowd[i]->send(text.substr(at, 1));
                }
            }
            f->run_for(milliseconds(10));
        }
        check_host(where);
    }
}
