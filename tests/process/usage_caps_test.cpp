#include "forward_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace snipemill::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned time_left_ms = 900;
constexpr double rate = 2;
constexpr double burst = 6;
constexpr double window_s = 5;
constexpr double overage = 0.1;
constexpr double slack = 8;
// In one window.
constexpr double limit = (rate * window_s + burst) * (1 + overage) + slack;
// After a start owners grant little until other hosts are sure to know them.
constexpr seconds until_full{6};

} // namespace

// The real hosts, with an account that may send 2 requests/s.
TEST_GROUP(usage_caps)
{
    forward_fixture f{"usage-caps"};
    std::size_t next_id = 0;

    struct exchange
    {
        std::string id;
        std::shared_ptr<raw_peer> peer;

        bool has_status(char const* status) const
        {
            return peer->in.starts_with(std::string("HTTP/1.1 ") + status);
        }
    };

    void start(std::size_t hosts)
    {
        CHECK(f.start(
            hosts, time_left_ms,
            "usage_caps: {window_s: 5, overage: 0.1, slack: 8}\n",
            {{.name = "acme", .key = "k1", .rate = rate, .burst = burst}}));
        f.run_for(until_full);
    }
    exchange send(soak::host const& to, std::string const& key)
    {
        exchange out{.id = "r" + std::to_string(next_id++),
                     .peer = raw_peer::connect(f.io, to.caller_port)};
        auto text = forward_fixture::request("/one/x", out.id, time_left_ms);
        text.insert(text.size() - 2, "Authorization: Bearer " + key + "\r\n");
        out.peer->send(text);
        return out;
    }
    // Sends n requests, by turns to the hosts that run, and waits for all
    // responses.
    std::vector<exchange> send_all(std::size_t n)
    {
        std::vector<exchange> out;
        while (out.size() < n) {
            for (auto const& it : f.fleet->hosts()) {
                if (it->process) {
                    out.push_back(send(*it, "k1"));
                }
            }
        }
        CHECK(run_until(f.io, [&] {
            return std::all_of(out.begin(), out.end(), [](auto const& it) {
                return it.peer->has("\r\n\r\n") &&
                       (it.has_status("200") || it.peer->has("}"));
            });
        }));
        return out;
    }
    static std::ptrdiff_t count(std::vector<exchange> const& all,
                                char const* status)
    {
        return std::count_if(all.begin(), all.end(), [&](auto const& it) {
            return it.has_status(status);
        });
    }
    // Guards the promise of a refusal: it has not run.
    void check_refusals(std::vector<exchange> const& all)
    {
        for (auto const& it : all) {
            if (!it.has_status("200")) {
                CHECK(it.peer->has("Retry-After: "));
                CHECK(it.peer->has("\"not_run\""));
                CHECK(!f.fleet->runs().contains(it.id));
            }
        }
    }
};

// Load: a burst of one account over all hosts. Guards against a cap that each
// host grants of its own, and against callers refused within the burst.
TEST(usage_caps, hosts_share_one_cap)
{
    start(4);
    auto const all = send_all(60);
    CHECK(count(all, "200") >= static_cast<std::ptrdiff_t>(burst));
    CHECK(count(all, "200") <= limit);
    CHECK_EQUAL(static_cast<std::ptrdiff_t>(all.size()),
                count(all, "200") + count(all, "429"));
    check_refusals(all);
}

// Load: the same while a host of each data centre is gone, and with it perhaps
// owner and deputy. Guards against callers that wait for hosts that are gone.
TEST(usage_caps, requests_end_when_the_owner_is_gone)
{
    start(4);
    f.fleet->kill_process(*f.fleet->hosts()[0]);
    f.fleet->kill_process(*f.fleet->hosts()[1]);
    auto const all = send_all(30);
    CHECK(count(all, "200") <= limit);
    CHECK_EQUAL(static_cast<std::ptrdiff_t>(all.size()),
                count(all, "200") + count(all, "429") + count(all, "503"));
    check_refusals(all);
}

// Guards against requests without the key of an account that run.
TEST(usage_caps, an_unknown_key_is_refused)
{
    start(1);
    auto const it = send(*f.fleet->hosts()[0], "k2");
    CHECK(run_until(f.io, [&] { return it.peer->has("}"); }));
    CHECK(it.has_status("401"));
    CHECK(!f.fleet->runs().contains(it.id));
}
