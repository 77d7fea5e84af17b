#include "forward_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace snipemill::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned time_left_ms = 900;
constexpr milliseconds work{120};
// Of requests that are lost: no upstream answers one before it ends.
constexpr milliseconds long_work{700};

// Within which every host knows of a change in the store, by the settings.
constexpr seconds change_within{3};

// The rule: requests that may reach upstreams after they have ended the third.
constexpr std::size_t max_after_third = 3;

} // namespace

// All upstreams of a service end at once while they run requests, and come
// back.
TEST_GROUP(lost_service)
{
    forward_fixture f{"lost-service"};

    void start()
    {
        CHECK(f.start(5, time_left_ms));
        for (auto* const it : upstreams()) {
            it->server->set_fixed_work(work);
        }
        f.run_for(seconds(1));
    }
    std::vector<soak::upstream_entry*> upstreams()
    {
        std::vector<soak::upstream_entry*> out;
        for (auto const& it : f.fleet->upstreams()) {
            if (!it->stopped &&
                it->server->options().service == standin::single_service) {
                out.push_back(it.get());
            }
        }
        return out;
    }
    // Ends all upstreams while each of them runs the request.
    void lose_all(std::string const& path)
    {
        for (auto* const it : upstreams()) {
            it->server->set_fixed_work(long_work);
        }
        std::vector<std::shared_ptr<raw_peer>> peers;
        for (int i = 0; i < 3; ++i) {
            for (auto const& it : f.fleet->hosts()) {
                peers.push_back(raw_peer::connect(f.io, it->caller_port));
                peers.back()->send(forward_fixture::request(
                    path, "lost" + std::to_string(peers.size()), time_left_ms));
            }
        }
        f.run_for(work / 2);
        for (auto* const it : upstreams()) {
            f.fleet->remove_entry(*it);
            f.fleet->stop_upstream(*it);
        }
        f.run_for(seconds(1));
    }
    void bring_back()
    {
        for (std::size_t i = 0; i < 3; ++i) {
            f.fleet->add_upstream(standin::single_service, i);
        }
        for (auto* const it : upstreams()) {
            it->server->set_fixed_work(work);
        }
    }
    // Loses the service until all hosts refuse the request for that. Asks them
    // while no upstream is there, since an answer would clear the request.
    bool lose_until_refused(std::string const& path)
    {
        for (int i = 0; i < 5; ++i) {
            if (i > 0) {
                bring_back();
                f.run_for(seconds(1));
            }
            lose_all(path);
            auto const answers = f.ask_all(path, time_left_ms);
            if (std::all_of(
                    answers.begin(), answers.end(), [](std::string const& it) {
                        return it.find("quarantined") != std::string::npos;
                    })) {
                bring_back();
                return true;
            }
        }
        return false;
    }
    // Time until all hosts answer the request with success.
    milliseconds time_until_served(std::string const& path, milliseconds limit)
    {
        auto const begin = std::chrono::steady_clock::now();
        auto const elapsed = [&] {
            return std::chrono::duration_cast<milliseconds>(
                std::chrono::steady_clock::now() - begin);
        };
        while (elapsed() < limit) {
            auto const answers = f.ask_all(path, time_left_ms);
            if (std::all_of(answers.begin(), answers.end(),
                            [](std::string const& it) {
                                return it.starts_with("HTTP/1.1 200");
                            })) {
                break;
            }
            f.run_for(milliseconds(100));
        }
        return elapsed();
    }
};

// Guards against refusing a popular request at all hosts for ten minutes
// because it ran at every upstream when these ended.
TEST(lost_service, a_popular_request_is_served_when_its_service_is_back)
{
    start();
    for (int i = 0; i < 3; ++i) {
        for (auto const& answer : f.ask_all("/one/popular", time_left_ms)) {
            CHECK_TEXT(answer.starts_with("HTTP/1.1 200"), answer.c_str());
        }
    }
    lose_all("/one/popular");
    bring_back();
    auto const time = time_until_served("/one/popular", 2 * change_within);
    CHECK_TEXT(time <= change_within, std::to_string(time.count()).c_str());
}

// The same for a request that nobody has answered before: only a trial can show
// that it is harmless. The trial comes after the time for which hosts learn of
// the crash, and hosts claim it within as long again; then its success has to
// reach all hosts.
TEST(lost_service, a_request_without_an_answer_is_tried_again)
{
    start();
    CHECK(lose_until_refused("/one/new"));
    auto const time = time_until_served("/one/new", 6 * change_within);
    CHECK_TEXT(time <= 3 * change_within, std::to_string(time.count()).c_str());
}

// Guards against trials that let a request end upstreams for as long as it is
// sent. It is sent to all hosts, for longer than all trials take.
TEST(lost_service, a_crashing_request_is_stopped_over_all_hosts)
{
    std::vector<std::chrono::steady_clock::time_point> crashes;
    start();
    f.fleet->on_crash([&](soak::upstream_entry& it, std::string const&) {
        crashes.push_back(std::chrono::steady_clock::now());
        f.fleet->remove_entry(it);
        f.fleet->stop_upstream(it);
        f.fleet->add_upstream(standin::single_service, crashes.size());
    });
    auto const end = std::chrono::steady_clock::now() + 16 * change_within;
    while (std::chrono::steady_clock::now() < end) {
        f.ask_all("/one" + std::string(standin::crash_path), time_left_ms);
        f.run_for(milliseconds(300));
    }
    CHECK(crashes.size() >= 3);
    auto const counted_from = crashes[2] + change_within;
    auto const late = std::count_if(crashes.begin(), crashes.end(),
                                    [&](auto at) { return at > counted_from; });
    CHECK_TEXT(late <= static_cast<std::ptrdiff_t>(max_after_third),
               std::to_string(late).c_str());
    // Trials have been made, or the bound shows nothing.
    CHECK(late > 0);
}
