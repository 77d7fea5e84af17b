#include "measure/measure.hpp"
#include "testbed/fleet.hpp"
#include "testbed/submit_load.hpp"

#include <algorithm>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace measure {

namespace {

using namespace testbed;
using std::chrono::milliseconds;

// Carries out a list of faults over and over while a load runs.
class fault_cycle
{
public:
    explicit fault_cycle(fleet& f) : fleet_(f) {}

    void step(milliseconds elapsed)
    {
        while (elapsed >= round_ * round_length + faults_[next_].at) {
            faults_[next_].run(*this);
            if (++next_ == faults_.size()) {
                next_ = 0;
                ++round_;
            }
        }
    }

    // Ends every fault and waits until the hosts know each other again.
    void end()
    {
        close_execute("none");
        fleet_.control_platform(R"({"lose_answers":0,"down":false})");
        start_host();
        wait_until([this] { return fleet_.settled(1); });
    }

    std::uint32_t killed() const { return killed_; }

private:
    struct fault
    {
        milliseconds at;
        void (*run)(fault_cycle&);
    };

    void close_execute(std::string const& when)
    {
        fleet_.control_upstreams(R"({"close_execute":")" + when + R"("})");
    }

    void kill_host()
    {
        down_host_ = killed_++ % fleet_.hosts().size();
        fleet_.kill_host(down_host_);
    }

    void start_host()
    {
        if (!fleet_.hosts()[down_host_].process) {
            fleet_.start_host(down_host_);
        }
    }

    static constexpr milliseconds round_length{4000};
    std::vector<fault> const faults_{
        {milliseconds(200), [](auto& c) { c.close_execute("before"); }},
        {milliseconds(700), [](auto& c) { c.close_execute("during"); }},
        {milliseconds(1200), [](auto& c) { c.close_execute("after"); }},
        {milliseconds(1700), [](auto& c) { c.close_execute("none"); }},
        {milliseconds(1800),
         [](auto& c) { c.fleet_.control_platform(R"({"lose_answers":15})"); }},
        {milliseconds(2300),
         [](auto& c) { c.fleet_.control_platform(R"({"down":true})"); }},
        {milliseconds(2600),
         [](auto& c) {
             c.fleet_.control_platform(R"({"lose_answers":0,"down":false})");
         }},
        {milliseconds(2900), [](auto& c) { c.kill_host(); }},
        {milliseconds(3600), [](auto& c) { c.start_host(); }}};

    fleet& fleet_;
    std::size_t next_ = 0;
    std::int64_t round_ = 0;
    std::size_t down_host_ = 0;
    std::uint32_t killed_ = 0;
};

double count(std::uint64_t n)
{
    return static_cast<double>(n);
}

void add_faults(fleet& f, fault_cycle const& faults, figures& out)
{
    for (auto const* it : {"closed_before", "closed_during", "closed_after"}) {
        out[it] = count(f.sum_upstreams(it));
    }
    auto const platform = f.platform_counters().value();
    out["platform_answers_lost"] = platform.at("lost").to_number<double>();
    out["platform_calls_dropped"] = platform.at("dropped").to_number<double>();
    out["hosts_killed"] = faults.killed();
}

double failed(std::vector<query_sample> const& samples)
{
    return count(static_cast<std::uint64_t>(
        std::count_if(samples.begin(), samples.end(),
                      [](auto const& it) { return it.status != 200; })));
}

} // namespace

result run_submit()
{
    fleet f({.services = 6, .upstream_arguments = {"--latency-ms", "2"}});
    fault_cycle faults(f);
    submit_load_options load{
        .targets = f.caller_targets(),
        .rate = 120,
        .keys = 2400,
        .resends = {milliseconds(0), milliseconds(500)},
        .before = [&](milliseconds elapsed) { faults.step(elapsed); }};
    auto samples = run_submits(load);
    faults.end();
    load.before = {};
    load.resends.clear();
    load.rate = 300;
    load.seed = 2;
    auto const again = run_submits(load);
    auto const lost = count_lost_answers(samples, again);
    samples.insert(samples.end(), again.begin(), again.end());
    auto const check = check_submits(samples, run_log(f));
    figures out{{"keys", count(check.keys)},
                {"requests", count(samples.size())},
                {"ran", count(check.ran)},
                {"duplicates", count(check.duplicates)},
                {"false_not_run", count(check.false_not_run)},
                {"changed_answers", count(check.changed_answers)},
                {"false_answers", count(check.false_answers)},
                {"lost_answers", count(lost)},
                {"answered", count(check.answered)},
                {"unknown", count(check.unknown)},
                {"not_run", count(check.not_run)}};
    add_faults(f, faults, out);
    return {{"main", std::move(out)}};
}

namespace {

fleet_options step_fleet(bool first_step)
{
    return {.group_settings =
                first_step ? "first_step: true, " : "first_step: false, ",
            .services = 20,
            .upstream_arguments = {"--latency-ms", "2", "--restart-ms", "300"}};
}

std::vector<query_sample> run_unknown_queries(fleet& f, int round)
{
    load_options load{.targets = f.caller_targets(), .rate = 60, .count = 240};
    // No host has seen the text before.
    load.body_of = [round](std::uint32_t i) {
        return R"({"group":"stores-desk","query":{"text":")" +
               std::to_string(round) + "-" + std::to_string(i) +
               R"("},"limit":20})";
    };
    return run_load(load);
}

// Sends the crashing query 20 times beside normal queries.
figures run_crashing(fleet& f)
{
    auto const targets = f.caller_targets();
    std::vector<query_sample> normal;
    std::thread others([&] { normal = run_unknown_queries(f, 100); });
    auto const crashing =
        run_load({.targets = targets,
                  .body = R"({"group":"stores-desk","query":{"crash":true}})",
                  .rate = 10,
                  .count = 20});
    others.join();
    auto const refused =
        std::count_if(crashing.begin(), crashing.end(),
                      [](auto const& it) { return it.code == "quarantined"; });
    return {{"upstreams_crashed", count(f.sum_upstreams("crashes"))},
            {"normal_failed", failed(normal)},
            {"normal_queries", count(normal.size())},
            {"quarantined", static_cast<double>(refused)},
            {"crashing_queries", count(crashing.size())}};
}

figures step_figures(std::vector<query_sample> const& samples)
{
    auto const ms = latencies(samples);
    return {{"p50_ms", quantile(ms, 0.5)},
            {"p99_ms", quantile(ms, 0.99)},
            {"failed", failed(samples)},
            {"queries", count(samples.size())}};
}

} // namespace

result run_crash()
{
    constexpr int rounds = 3;
    fleet off(step_fleet(false));
    fleet on(step_fleet(true));
    // Connections and limits settle before the first figure.
    run_unknown_queries(off, 0);
    run_unknown_queries(on, 0);
    std::vector<query_sample> without;
    std::vector<query_sample> with;
    for (int i = 1; i <= rounds; ++i) {
        auto const a = run_unknown_queries(off, i);
        without.insert(without.end(), a.begin(), a.end());
        auto const b = run_unknown_queries(on, i);
        with.insert(with.end(), b.begin(), b.end());
    }
    return {{"main", run_crashing(on)},
            {"first_step_off", step_figures(without)},
            {"first_step_on", step_figures(with)}};
}

} // namespace measure
