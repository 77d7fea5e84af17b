#include "forward_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace snipemill::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Longer than the time within which a change has to be in force.
constexpr milliseconds outdated_by{4000};
constexpr seconds change_within{3};
constexpr unsigned time_left_ms = 900;

} // namespace

// Calls that accept outdated data get it, and hosts that are idle learn of no
// change in another way.
TEST_GROUP(outdated_store)
{
    forward_fixture f{"outdated-store"};

    void start(std::size_t hosts)
    {
        CHECK(f.start(hosts, time_left_ms));
        f.run_for(seconds(1));
        f.fleet->store().set_outdated_by(outdated_by);
        f.run_for(outdated_by);
    }
    std::vector<std::string> ask_all(std::string const& path)
    {
        auto out = f.ask_all(path, time_left_ms);
        CHECK(std::all_of(out.begin(), out.end(), [](std::string const& it) {
            return it.find("\r\n\r\n") != std::string::npos;
        }));
        return out;
    }
    void set_extra_route(bool exists)
    {
        auto state = f.fleet->manifest();
        state.version += 3;
        state.extra_route = exists;
        f.fleet->publish(state);
    }
};

// Guards against requests that are handled by a manifest which has been
// replaced longer ago than the limit.
TEST(outdated_store, a_manifest_is_in_force_within_its_bound)
{
    start(5);
    for (bool const exists : {true, false, true}) {
        set_extra_route(exists);
        f.run_for(change_within);
        for (auto const& answer : ask_all("/extra/x")) {
            CHECK_TEXT(
                answer.starts_with(exists ? "HTTP/1.1 200" : "HTTP/1.1 404"),
                answer.c_str());
        }
    }
}

// Guards against requests to an upstream that has been leaving for longer than
// the limit.
TEST(outdated_store, a_leaving_upstream_gets_no_requests_after_its_bound)
{
    start(5);
    auto const& upstreams = f.fleet->upstreams();
    auto const leaver =
        std::find_if(upstreams.begin(), upstreams.end(), [](auto const& it) {
            return it->server->options().service == standin::single_service;
        });
    f.fleet->start_drain(**leaver);
    f.run_for(change_within);
    auto const begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 12; ++i) {
        ask_all("/one/x");
    }
    CHECK((*leaver)->server->last_arrival() < begin);
}

// Guards against an upstream that is used for too long after its entry has been
// removed without notice: the hold of a missing entry began when the host
// learnt of the removal.
TEST(outdated_store, a_removed_upstream_gets_no_requests_after_its_bound)
{
    constexpr std::size_t removed = 4;
    // Not a multiple of the interval of reads, so that the removals come at
    // different times between two of them.
    constexpr milliseconds gap{1350};
    start(5);
    struct removal
    {
        soak::upstream_entry* upstream = nullptr;
        std::chrono::steady_clock::time_point at;
    };
    std::vector<soak::upstream_entry*> candidates;
    for (auto const& it : f.fleet->upstreams()) {
        if (it->server->options().service == standin::single_service) {
            candidates.push_back(it.get());
        }
    }
    CHECK(candidates.size() > removed);
    std::vector<removal> removals;
    auto next = std::chrono::steady_clock::now();
    auto end = next;
    while (std::chrono::steady_clock::now() < end ||
           removals.size() < removed) {
        if (removals.size() < removed &&
            std::chrono::steady_clock::now() >= next) {
            auto* const it = candidates[removals.size()];
            f.fleet->remove_entry(*it);
            removals.push_back({it, std::chrono::steady_clock::now()});
            next += gap;
            end = std::chrono::steady_clock::now() + change_within +
                  milliseconds(1000);
        }
        ask_all("/one/x");
    }
    for (auto const& it : removals) {
        auto const last = it.upstream->server->last_arrival() - it.at;
        CHECK_TEXT(last <= change_within,
                   std::to_string(
                       std::chrono::duration_cast<milliseconds>(last).count())
                       .c_str());
    }
}

// Load pattern: one current call for all hosts. Guards against hosts that each
// read the store at an interval.
TEST(outdated_store, hosts_share_the_reads_of_the_store)
{
    CHECK(f.start(5, time_left_ms));
    f.run_for(seconds(3));
    auto const before = f.fleet->store().current_reads();
    f.run_for(seconds(6));
    auto const reads = f.fleet->store().current_reads() - before;
    CHECK_TEXT(reads >= 5, std::to_string(reads).c_str());
    CHECK_TEXT(reads <= 9, std::to_string(reads).c_str());
}

// Guards against a change that no host notices because the one that reads the
// store for all is gone or frozen.
TEST(outdated_store, another_host_takes_over_the_reads)
{
    start(5);
    for (auto const& it : f.fleet->hosts()) {
        it->process->signal(SIGSTOP);
        set_extra_route(!f.fleet->manifest().extra_route);
        f.run_for(change_within);
        bool const exists = f.fleet->manifest().extra_route;
        it->process->signal(SIGCONT);
        auto const answers = ask_all("/extra/x");
        for (std::size_t i = 0; i < answers.size(); ++i) {
            if (f.fleet->hosts()[i] != it) {
                CHECK_TEXT(answers[i].starts_with(exists ? "HTTP/1.1 200"
                                                         : "HTTP/1.1 404"),
                           answers[i].c_str());
            }
        }
        // The host that was frozen catches up before it is the next one's turn.
        f.run_for(change_within);
    }
}
