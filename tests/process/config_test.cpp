#include "testbed/fleet.hpp"
#include "testbed/ticket_watch.hpp"

#include <boost/json/parse.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <thread>

using namespace testbed;

namespace {

std::string const query = R"({"group":"stores-desk","query":{},"limit":5})";

// Takes what can be reached until its deadline.
std::string const any_coverage_query =
    R"({"group":"stores-desk","query":{},"limit":5,"deadline_ms":2000,)"
    R"("min_coverage":0})";

fleet_options small_fleet()
{
    // The machine may be busy: a deadline with room, so that what fails is
    // not the time.
    return {.group_settings = "deadline_ms: 5000, ",
            .services = 6,
            .upstream_arguments = {"--latency-ms", "1", "--partitions", "12",
                                   "--records-per-partition", "5"},
            .traffic_threads = 1};
}

// A change that leaves queries as they are.
std::string group_object(int priority)
{
    return "  - {kind: group, name: stores-desk, deadline_ms: 5000, "
           "priority: " +
           std::to_string(priority) + "}\n";
}

std::string platform_of(fleet const& f)
{
    return "127.0.0.1:" + std::to_string(f.platform_port());
}

std::string operator_of(fleet& f, std::size_t i)
{
    return "127.0.0.1:" + std::to_string(f.hosts()[i].operator_port);
}

// A ticket file in the fleet's folder.
std::string write_file(fleet const& f, std::string const& author,
                       std::uint64_t number, int priority)
{
    auto file = (f.folder() / (author + ".yaml")).string();
    std::ofstream out(file);
    if (number > 0) {
        out << "number: " << number << "\n";
    }
    out << "author: " << author << "\nreason: test\nobjects:\n"
        << group_object(priority);
    return file;
}

program_result submit_file(fleet& f, std::string const& file,
                           std::string const& nonce = {})
{
    std::vector<std::string> arguments{"ticket", "submit", file, "--platform",
                                       platform_of(f)};
    if (!nonce.empty()) {
        arguments.insert(arguments.end(), {"--nonce", nonce});
    }
    return f.run(arguments);
}

std::string show_ticket(fleet& f, std::uint64_t number)
{
    return f
        .run({"ticket", "show", std::to_string(number), "--platform",
              platform_of(f)})
        .output;
}

std::size_t count_tickets(fleet& f)
{
    auto const text =
        f.run({"ticket", "list", "--platform", platform_of(f)}).output;
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

bool in_force_on_all(fleet& f, std::uint64_t number)
{
    for (std::size_t i = 0; i < f.hosts().size(); ++i) {
        if (f.ticket_in_force(i) != number) {
            return false;
        }
    }
    return true;
}

void check_all_answered(std::vector<query_sample> const& samples)
{
    for (auto const& it : samples) {
        LONGS_EQUAL(200, it.status);
        CHECK(it.coverage.has_value());
    }
}

} // namespace

TEST_GROUP(config_process){};

// Guards against two operators who both believe that their ticket has the
// number, and against a loser who is not told.
TEST(config_process, one_of_two_racing_tickets_is_accepted)
{
    fleet f(small_fleet());
    // Both read the head before either writes.
    f.control_platform(R"({"delay_ms": 50})");
    constexpr std::uint64_t rounds = 5;
    for (std::uint64_t number = 2; number < 2 + rounds; ++number) {
        auto const priority = static_cast<int>(number);
        auto const first = write_file(f, "amara", number, priority);
        auto const second = write_file(f, "bandula", number, 100 + priority);
        program_result a;
        program_result b;
        std::thread other([&] { a = submit_file(f, first); });
        b = submit_file(f, second);
        other.join();
        LONGS_EQUAL(3, a.code + b.code);
        CHECK(a.code == 0 || b.code == 0);
        auto const* const winner = a.code == 0 ? "amara" : "bandula";
        CHECK(contains(show_ticket(f, number), winner));
    }
    LONGS_EQUAL(1 + rounds, count_tickets(f));
    CHECK(wait_until([&] { return in_force_on_all(f, 1 + rounds); }));
}

// Guards against an accepted ticket that is reported as lost, and against one
// that a second submission accepts again.
TEST(config_process, lost_answers_neither_lose_nor_repeat_a_ticket)
{
    fleet f(small_fleet());
    auto const file = write_file(f, "amara", 0, 7);
    f.control_platform(R"({"lose_answers": 1})");
    auto const first = submit_file(f, file, "nonce-of-amara");
    LONGS_EQUAL(0, first.code);
    CHECK(contains(first.output, "ticket 2 is accepted"));
    LONGS_EQUAL(1, f.platform_counters()->at("lost").to_number<int>());

    auto const again = submit_file(f, file, "nonce-of-amara");
    LONGS_EQUAL(0, again.code);
    CHECK(contains(again.output, "ticket 2 is accepted"));
    LONGS_EQUAL(2, count_tickets(f));
    CHECK(wait_until([&] { return in_force_on_all(f, 2); }));
}

// Guards against a fleet that needs the platform to serve, and against a
// replaced host that starts with an old configuration or none.
TEST(config_process, platform_outage_stops_tickets_only)
{
    fleet f(small_fleet());
    LONGS_EQUAL(0, f.submit(group_object(2)).code);
    CHECK(wait_until([&] { return in_force_on_all(f, 2); }));
    ticket_watch const watch(f.operator_ports());
    f.control_platform(R"({"down": true})");
    auto const refused = f.submit(group_object(3));
    LONGS_EQUAL(4, refused.code);

    constexpr std::size_t replaced = 1;
    f.kill_host(replaced);
    load_options load{
        .targets = f.caller_targets(), .body = query, .rate = 20, .count = 40};
    check_all_answered(run_load(load));
    f.start_host(replaced);
    CHECK(wait_until([&] { return f.ready(replaced); }));
    LONGS_EQUAL(2, f.ticket_in_force(replaced));
    load.targets = f.caller_targets();
    check_all_answered(run_load(load));

    f.control_platform(R"({"down": false})");
    CHECK(wait_until([&] { return f.submit(group_object(4)).code == 0; }));
    CHECK(wait_until([&] { return in_force_on_all(f, 3); }));
    LONGS_EQUAL(0, watch.reverts());
    CHECK(watch.answers() > 0);
}

// Guards against a paused data centre that stops the others, and against one
// that resumes with an old configuration and keeps or spreads it.
TEST(config_process, frozen_data_centre_catches_up)
{
    fleet f(small_fleet());
    ticket_watch const watch(f.operator_ports());
    std::vector<load_target> others;
    std::vector<child_process*> frozen;
    for (auto const& it : f.hosts()) {
        if (it.data_centre == "gampaha") {
            frozen.push_back(it.process.get());
        }
        else {
            others.push_back({.port = it.caller_port});
        }
    }
    for (auto* it : frozen) {
        it->signal(SIGSTOP);
    }
    std::vector<query_sample> samples;
    std::thread queries([&] {
        samples = run_load({.targets = others,
                            .body = any_coverage_query,
                            .rate = 20,
                            .count = 120});
    });
    auto const until =
        std::chrono::steady_clock::now() + std::chrono::seconds(6);
    std::uint64_t last = 1;
    while (std::chrono::steady_clock::now() < until) {
        last += f.submit(group_object(static_cast<int>(last))).code == 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    for (auto* it : frozen) {
        it->signal(SIGCONT);
    }
    queries.join();
    CHECK(last > 1);
    CHECK(wait_until([&] { return in_force_on_all(f, last); }));
    LONGS_EQUAL(0, watch.reverts());
    // Until the paused hosts are noticed, queries that reach them stay open
    // until the deadline; their answers state what is missing.
    check_all_answered(samples);
    // Afterwards the whole index is served again.
    CHECK(wait_until([&] {
        auto const again = run_load({.targets = f.caller_targets(),
                                     .body = query,
                                     .rate = 20,
                                     .count = 6});
        return std::all_of(again.begin(), again.end(), [](auto const& it) {
            return it.status == 200 && it.coverage == 1.0;
        });
    }));
}

// Guards against commands that report a ticket as in force where it is not, or
// end with a code that scripts misread.
TEST(config_process, ticket_wait_and_status_report_the_spread)
{
    fleet f(small_fleet());
    auto const host = operator_of(f, 0);
    LONGS_EQUAL(0, f.submit(group_object(2)).code);
    auto const waited = f.run({"ticket", "wait", "2", "--host", host});
    LONGS_EQUAL(0, waited.code);
    STRCMP_EQUAL("ticket 2 is in force on 6 hosts\n", waited.output.c_str());
    auto const status = f.run({"ticket", "status", "2", "--host", host});
    LONGS_EQUAL(0, status.code);
    for (auto const* dc : {"colombo", "kelaniya", "gampaha"}) {
        CHECK(contains(status.output, dc));
    }
    CHECK(contains(status.output, "2 in force, 0 behind, 0 unreachable"));

    auto const later =
        f.run({"ticket", "wait", "3", "--timeout-ms", "300", "--host", host});
    LONGS_EQUAL(5, later.code);
    CHECK(contains(later.output, "0 in force, 2 behind, 0 unreachable"));
    CHECK(contains(later.output, "kelaniya-1 has ticket 2"));

    auto const gone = operator_of(f, 5);
    f.kill_host(5);
    auto const lacking = f.run({"ticket", "status", "2", "--host", host});
    LONGS_EQUAL(0, lacking.code);
    CHECK(contains(lacking.output, "1 in force, 0 behind, 1 unreachable"));
    // Before membership has noticed, no time is known.
    CHECK(wait_until([&] {
        auto const it = f.run({"ticket", "status", "2", "--host", host});
        return contains(it.output,
                        f.hosts()[5].name + " is unreachable (dead for ");
    }));
    auto const printed =
        f.run({"ticket", "status", "2", "--host", host, "--output", "json"});
    auto const spread = boost::json::parse(printed.output).as_object();
    LONGS_EQUAL(2, spread.at("ticket").to_number<int>());
    for (auto const& it : spread.at("hosts").as_array()) {
        auto const& h = it.as_object();
        auto const killed =
            h.at("name").as_string() == f.hosts()[5].name.c_str();
        CHECK(h.at("place") == (killed ? "unreachable" : "in_force"));
        // A dead host was suspect for the 3 s of a data centre or longer.
        CHECK_EQUAL(killed, h.at("unreachable_ms").is_number() &&
                                h.at("unreachable_ms").to_number<int>() > 0);
    }
    LONGS_EQUAL(4, f.run({"ticket", "status", "2", "--host", gone}).code);
    LONGS_EQUAL(4, f.run({"ticket", "wait", "2", "--host", gone}).code);
    LONGS_EQUAL(2, f.run({"ticket", "wait", "two", "--host", host}).code);
    LONGS_EQUAL(2, f.run({"ticket", "status", "2"}).code);
}

// Guards against a list of hosts that is read only at the start.
TEST(config_process, host_list_is_read_again)
{
    fleet f(small_fleet());
    auto const reads = [&] {
        auto const all = f.platform_counters();
        return all ? all->at("hosts").to_number<std::uint64_t>() : 0;
    };
    auto const before = reads();
    CHECK(before >= f.hosts().size());
    CHECK(wait_until([&] { return reads() > before; }));
}
