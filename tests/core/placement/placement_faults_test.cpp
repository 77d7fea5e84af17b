#include "core/forward/upstream_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <map>
#include <optional>
#include <string>

using namespace snipemill;

namespace {

constexpr double work_ms = 20;

// How a replica answers a request that arrives with `open` requests there.
struct behaviour
{
    duration latency = from_ms(20);
    std::optional<reported_load> load;
    bool hangs = false;
};

reported_load idle(double speed = 1)
{
    return {.slots = 2, .speed = speed};
}

} // namespace

// One host and three replicas a, b and c in its data centre; a is at fault.
TEST_GROUP(placement_faults)
{
    time_point now{from_ms(100'000)};
    upstream_fleet fleet{{.data_centre = "dc"}, 1};
    std::vector<upstream_record> records;
    std::string service = "s";
    request_cost cost{.own = {.mean = work_ms, .tail = 1.5 * work_ms},
                      .mean_there = work_ms};
    std::multimap<time_point, std::function<void()>> ends;
    std::map<std::string, int> sent;

    void setup() override
    {
        for (auto const* const it : {"a", "b", "c"}) {
            records.push_back({.instance = it,
                               .service = service,
                               .data_centre = "dc",
                               .slots = 2,
                               .started_ms = 1});
        }
        fleet.update(records, {}, now);
    }
    void run_ends()
    {
        while (!ends.empty() && ends.begin()->first <= now) {
            auto const f = std::move(ends.begin()->second);
            ends.erase(ends.begin());
            f();
        }
    }
    void send(std::function<behaviour(upstream_view const&)> const& act)
    {
        choice_failure why{};
        auto const to =
            fleet.choose({.service = &service, .now = now, .cost = &cost}, why);
        if (!to) {
            return;
        }
        auto const start = now;
        to->sent(now, fleet.predict(*to, cost, now));
        ++sent[to->record.instance];
        auto const it = act(*to);
        // A host gives up an exchange 350 ms after its hedge has won.
        auto const end = start + (it.hangs ? from_ms(400) : it.latency);
        ends.emplace(end, [this, to, start, end, it] {
            if (it.hangs) {
                to->timed_out(start, end, 20);
                return;
            }
            fleet.on_answer(*to, {.load = it.load}, start, end);
            to->answered(start, end, to_ms(it.latency) / work_ms);
        });
    }
    // Sends a request every 10 ms; returns the share that a got.
    double share_of_a(duration length,
                      std::function<behaviour(upstream_view const&)> const& act)
    {
        sent.clear();
        int n = 0;
        for (auto const end = now + length; now < end; now += from_ms(10)) {
            run_ends();
            send(act);
            ++n;
        }
        return static_cast<double>(sent["a"]) / n;
    }
    static behaviour honest(upstream_view const&)
    {
        return {.load = idle()};
    }
    behaviour unless_a(upstream_view const& it, behaviour const& of_a)
    {
        return it.record.instance == "a" ? of_a : honest(it);
    }
};

TEST(placement_faults, equal_replicas_share_alike)
{
    auto const share = share_of_a(from_ms(10'000), honest);
    CHECK(share > 0.25 && share < 0.42);
}

// An upstream reports that it is idle and takes five times as long.
TEST(placement_faults, a_lie_about_the_load_attracts_no_work)
{
    share_of_a(from_ms(2000), honest);
    auto const share = share_of_a(from_ms(10'000), [&](auto const& it) {
        return unless_a(it, {.latency = from_ms(100), .load = idle()});
    });
    CHECK(share < 0.1);
}

// An upstream reports that it is far faster than usual.
TEST(placement_faults, a_lie_about_the_speed_attracts_no_work)
{
    share_of_a(from_ms(2000), honest);
    auto const share = share_of_a(from_ms(10'000), [&](auto const& it) {
        return unless_a(it, {.load = idle(0.01)});
    });
    CHECK(share < 0.45);
}

// An upstream has reported no load and hangs.
TEST(placement_faults, a_hanging_upstream_gets_few_requests)
{
    share_of_a(from_ms(2000), honest);
    auto const share = share_of_a(from_ms(10'000), [&](auto const& it) {
        return unless_a(it, {.load = idle(), .hangs = true});
    });
    CHECK(share < 0.05);
}

// An upstream that was fast stops reporting and is slow.
TEST(placement_faults, a_silent_upstream_does_not_live_on_its_last_report)
{
    share_of_a(from_ms(2000), [&](auto const& it) {
        return unless_a(it, {.latency = from_ms(16), .load = idle(0.8)});
    });
    auto const share = share_of_a(from_ms(10'000), [&](auto const& it) {
        return unless_a(it, {.latency = from_ms(60)});
    });
    CHECK(share < 0.15);
}

// An upstream that was slow stops reporting and is as fast as the others.
// Guards against a replica that is never used again.
TEST(placement_faults, a_silent_upstream_is_not_given_up)
{
    share_of_a(from_ms(2000), [&](auto const& it) {
        return unless_a(
            it, {.latency = from_ms(50),
                 .load = reported_load{
                     .running = 2, .waiting = 4, .slots = 2, .speed = 2.5}});
    });
    auto const share = share_of_a(
        from_ms(10'000), [&](auto const& it) { return unless_a(it, {}); });
    CHECK(share > 0.1);
}

// An upstream restarts and goes on reporting the figures of its former process,
// fast and idle, while it is slow.
TEST(placement_faults, a_restart_with_old_figures_attracts_no_work)
{
    share_of_a(from_ms(2000), [&](auto const& it) {
        return unless_a(it, {.latency = from_ms(16), .load = idle(0.8)});
    });
    records[0].started_ms = 2;
    fleet.update(records, {}, now);
    auto const& a = *fleet.all()[0];
    CHECK_FALSE(a.placement.reports_speed());
    auto const share = share_of_a(from_ms(10'000), [&](auto const& it) {
        return unless_a(it, {.latency = from_ms(80), .load = idle(0.8)});
    });
    CHECK(share < 0.1);
}

// The entry of an upstream lapses and comes back while the process runs on.
// Guards against answers to requests sent before that change the new view.
TEST(placement_faults, late_answers_do_not_speak_for_a_new_process)
{
    share_of_a(from_ms(50), honest);
    auto const before = fleet.all()[0];
    records[0].started_ms = 2;
    fleet.update(records, {}, now);
    now += from_ms(100);
    run_ends();
    CHECK(before != fleet.all()[0]);
    CHECK_FALSE(fleet.all()[0]->placement.reports_speed());
    CHECK_FALSE(fleet.all()[0]->admission.reported_waiting(now) > 0);
}

// Sixty hosts know the same loads, each from reports of another age, and send
// at once. Guards against all of them choosing the replica that was least
// loaded.
TEST(placement_faults, many_hosts_do_not_choose_one_replica)
{
    constexpr int hosts = 60;
    constexpr int replicas = 10;
    std::vector<upstream_record> list;
    list.reserve(replicas);
    for (int i = 0; i < replicas; ++i) {
        list.push_back({.instance = "u" + std::to_string(i),
                        .service = service,
                        .data_centre = "dc",
                        .slots = 2});
    }
    std::map<std::string, int> chosen;
    for (int h = 0; h < hosts; ++h) {
        upstream_fleet one({.data_centre = "dc"},
                           static_cast<std::uint64_t>(h));
        one.update(list, {}, now);
        for (int i = 0; i < replicas; ++i) {
            auto const& it = one.all()[static_cast<std::size_t>(i)];
            auto const at = now - from_ms((h * 7 + i * 13) % 100);
            one.on_answer(
                *it,
                {.load =
                     reported_load{.running = i == 0 ? 1U : 2U,
                                   .waiting = static_cast<std::uint32_t>(i / 4),
                                   .slots = 2,
                                   .speed = 1}},
                at, at);
        }
        choice_failure why{};
        ++chosen[one.choose({.service = &service, .now = now, .cost = &cost},
                            why)
                     ->record.instance];
    }
    int most = 0;
    for (auto const& [name, n] : chosen) {
        most = std::max(most, n);
    }
    CHECK(most <= hosts / 2);
    CHECK(chosen.size() >= 5);
}
