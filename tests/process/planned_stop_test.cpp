#include "forward_fixture.hpp"
#include "testbed/fleet.hpp"
#include "testbed/submit_load.hpp"

#include <CppUTest/TestHarness.h>

#include <csignal>

using namespace snipemill::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Time from SIGTERM to SIGKILL, the default of the hosts' settings.
constexpr milliseconds grace{6000};
constexpr unsigned route_timeout_ms = 4000;
constexpr unsigned time_left_ms = 4000;
// Time that a request takes at its upstream.
constexpr milliseconds work_time{2500};
constexpr milliseconds wide_query_interval{100};

std::string request(std::string const& path, std::string const& id)
{
    return forward_fixture::request(path, id, time_left_ms);
}

// A caller with a connection of its own.
struct caller
{
    std::string id;
    std::string path;
    std::shared_ptr<raw_peer> connection;
    milliseconds sent_at{}; // after SIGTERM
    bool sent = false;
};

} // namespace

// The real hosts between a stand-in store and stand-in upstreams.
TEST_GROUP(planned_stop)
{
    forward_fixture f{"planned-stop"};
    boost::asio::io_context& io = f.io;
    std::optional<soak::test_fleet>& fleet = f.fleet;

    void start(std::size_t hosts)
    {
        CHECK(f.start(hosts, route_timeout_ms));
    }
    void run_for(milliseconds time)
    {
        f.run_for(time);
    }
    // Opens a connection and uses it once.
    caller open(soak::host const& to, std::string const& path,
                std::string const& id)
    {
        caller out{.id = id,
                   .path = path,
                   .connection = raw_peer::connect(io, to.caller_port)};
        out.connection->send(request("/one/x", id + "-first"));
        CHECK(run_until(io, [&] {
            return out.connection->has("HTTP/1.1 200") &&
                   fleet->runs().contains(id + "-first");
        }));
        run_for(milliseconds(2));
        out.connection->in.clear();
        return out;
    }
    void set_work(milliseconds work)
    {
        for (auto const& it : fleet->upstreams()) {
            if (it->server->options().service == standin::single_service) {
                it->server->set_fixed_work(work);
            }
        }
    }
    // Sends one idempotent request and one that may run once at each tenth of
    // the grace time, each on a kept connection of its own, and waits for the
    // end of the process.
    std::vector<caller> stop_under_load(soak::host & host)
    {
        std::vector<caller> callers;
        for (int tenth = 0; tenth < 10; ++tenth) {
            for (std::string const path : {"/one/x", "/once/x"}) {
                auto const n = std::to_string(callers.size());
                callers.push_back(open(host, path, host.name + "-" + n));
                callers.back().sent_at = grace * tenth / 10;
            }
        }
        set_work(work_time);
        host.process->signal(SIGTERM);
        auto const begin = std::chrono::steady_clock::now();
        auto next = callers.begin();
        CHECK(run_until(io, [&] {
            auto const passed = std::chrono::steady_clock::now() - begin;
            for (; next != callers.end() && next->sent_at <= passed; ++next) {
                next->sent = !next->connection->closed;
                if (next->sent) {
                    next->connection->send(request(next->path, next->id));
                }
            }
            return !host.process->running();
        }));
        CHECK(std::chrono::steady_clock::now() - begin < grace);
        run_for(milliseconds(50));
        return callers;
    }
    // A request that was read has an answer or a true "not run"; one that was
    // not read has not run.
    void check_answers(std::vector<caller> const& callers)
    {
        for (auto const& it : callers) {
            bool const ran = fleet->runs().contains(it.id);
            auto const& in = it.connection->in;
            auto const text = it.id + " " + it.path + ": " +
                              (in.empty() ? "no answer" : in.substr(0, 300));
            if (it.connection->has("HTTP/1.1 200")) {
                CHECK_TEXT(ran, text.c_str());
            }
            else {
                CHECK_TEXT(!ran, text.c_str());
                CHECK_TEXT(in.empty() ||
                               (it.connection->has("HTTP/1.1 503") &&
                                it.connection->has(R"("run":"not_run")")),
                           text.c_str());
            }
        }
    }
};

// Guards against requests that are read late in the grace time, passed on and
// cut off without an answer.
TEST(planned_stop, every_request_that_is_read_has_an_answer)
{
    start(1);
    auto& host = *fleet->hosts()[0];
    auto const callers = stop_under_load(host);
    check_answers(callers);
    // The stop must not refuse what can end in time, nor idempotent requests
    // that the load balancer still sends.
    for (auto const& it : callers) {
        if (it.path == "/one/x" ? it.sent_at < seconds(2)
                                : it.sent_at < seconds(1)) {
            CHECK_TEXT(it.connection->has("HTTP/1.1 200"), it.id.c_str());
        }
    }
    LONGS_EQUAL(0, host.process->wait());
}

// The same at a relay that also runs queries for other hosts. Guards against
// queries of other hosts that the stop cuts off.
TEST(planned_stop, a_relay_answers_callers_and_other_hosts)
{
    start(14);
    auto& relay = *fleet->hosts()[0];
    auto& other = *fleet->hosts()[10];
    run_for(seconds(3)); // until the hosts know the relays
    std::vector<std::shared_ptr<raw_peer>> queries;
    bool stopped = false;
    boost::asio::steady_timer timer(io);
    std::function<void()> const send_query = [&] {
        if (stopped) {
            return;
        }
        queries.push_back(raw_peer::connect(io, other.caller_port));
        queries.back()->send(
            request("/wide/x", "w" + std::to_string(queries.size())));
        timer.expires_after(wide_query_interval);
        timer.async_wait([&](boost::system::error_code ec) {
            if (!ec) {
                send_query();
            }
        });
    };
    send_query();
    auto const callers = stop_under_load(relay);
    stopped = true;
    timer.cancel();
    run_for(seconds(1));
    check_answers(callers);
    for (auto const& it : queries) {
        CHECK_TEXT(it->has("HTTP/1.1 200"), it->in.substr(0, 300).c_str());
    }
}

// Hosts of the product's own interface, whose upstreams are slow.
TEST_GROUP(planned_stop_of_serve)
{
    boost::asio::io_context io;
    testbed::fleet fleet{
        {.hosts_per_data_centre = 1,
         .services = 6,
         .upstream_arguments = {"--latency-ms", "2", "--partitions", "12",
                                "--records-per-partition", "5"},
         .host_settings = "shutdown: {linger_ms: 500, timeout_ms: 3000}\n"}};
    testbed::child_process& host = *fleet.hosts()[0].process;

    std::shared_ptr<raw_peer> connect()
    {
        return raw_peer::connect(io, fleet.hosts()[0].caller_port);
    }
    static std::string post(std::string const& path, std::string const& body,
                            std::string const& key = {})
    {
        return "POST " + path + " HTTP/1.1\r\nHost: a\r\n" +
               (key.empty() ? "" : "Idempotency-Key: " + key + "\r\n") +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    }
    static std::string submit(std::string const& key)
    {
        return post(
            "/v1/submit",
            R"({"group":"stores-desk","request":{},"deadline_ms":2500})", key);
    }
    void set_latency(int ms)
    {
        fleet.control_upstreams(R"({"latency_ms":)" + std::to_string(ms) + "}");
    }
    void wait_for_the_end()
    {
        CHECK(run_until(io, [&] { return !host.running(); }));
        run_until(
            io, [] { return false; }, seconds(1));
    }
};

// Guards against submits that are read during the stop, run and are cut off
// without an answer.
TEST(planned_stop_of_serve, every_submit_that_is_read_has_an_answer)
{
    constexpr std::size_t callers = 8;
    std::vector<std::shared_ptr<raw_peer>> peers;
    for (std::size_t i = 0; i < callers; ++i) {
        peers.push_back(connect());
        peers.back()->send(submit("warm-" + std::to_string(i)));
        CHECK(run_until(io, [&] { return peers.back()->has("HTTP/1.1 200"); }));
        peers.back()->in.clear();
    }
    set_latency(2000);
    auto const begin = std::chrono::steady_clock::now();
    host.signal(SIGTERM);
    for (std::size_t i = 0; i < callers; ++i) {
        run_until(io, [&] {
            return std::chrono::steady_clock::now() - begin >
                   milliseconds(175 * i);
        });
        if (!peers[i]->closed) {
            peers[i]->send(submit("key-" + std::to_string(i)));
        }
    }
    wait_for_the_end();
    auto const runs = testbed::run_log(fleet);
    for (std::size_t i = 0; i < callers; ++i) {
        auto const& it = *peers[i];
        auto const key = "key-" + std::to_string(i);
        auto const text = key + ": " + it.in.substr(0, 300);
        CHECK_EQUAL_TEXT(it.has("HTTP/1.1 200"), runs.contains(key),
                         text.c_str());
        CHECK_TEXT(it.in.empty() || it.has("HTTP/1.1 200") ||
                       it.has(R"("run":"not_run")"),
                   text.c_str());
    }
    CHECK(peers[0]->has("HTTP/1.1 200"));
}

// Guards against a query that outlasts the stop and is cut off without an
// answer.
TEST(planned_stop_of_serve, a_query_that_outlasts_the_stop_has_an_answer)
{
    set_latency(8000);
    auto const query = connect();
    query->send(post(
        "/v1/query",
        R"({"group":"stores-desk","query":{},"limit":5,"deadline_ms":60000})"));
    run_until(
        io, [] { return false; }, seconds(1));
    CHECK(query->in.empty());
    host.signal(SIGTERM);
    wait_for_the_end();
    CHECK_TEXT(query->has("HTTP/1.1 504"), query->in.c_str());
    CHECK(query->has(R"("run":"unknown")"));
}
