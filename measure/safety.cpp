#include "adapters/codec/config_json.hpp"
#include "adapters/platform/platform_json.hpp"
#include "measure/measure.hpp"
#include "testbed/fleet.hpp"
#include "testbed/submit_load.hpp"

#include <algorithm>
#include <iostream>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace measure {

namespace {

using namespace testbed;
using std::chrono::milliseconds;

// Times in ms after the start of the load.
struct host_kill
{
    std::string host;
    double at = 0;
};

struct time_span
{
    double from = 0;
    double to = 0;
};

// Carries out a list of faults over and over while a load runs.
class fault_cycle
{
public:
    explicit fault_cycle(fleet& f) : fleet_(f) {}

    void step(milliseconds elapsed)
    {
        while (elapsed >= round_ * round_length + faults_[next_].at) {
            now_ = static_cast<double>(elapsed.count());
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
        end_platform_faults();
        start_host();
        // Upstreams that refuse connections do not report counters either.
        fleet_.sum_upstreams("ran");
        wait_until([this] { return fleet_.settled(1); });
    }

    std::vector<host_kill> const& kills() const { return kills_; }
    std::vector<time_span> const& platform_faults() const
    {
        return platform_faults_;
    }

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
        down_host_ = kills_.size() % fleet_.hosts().size();
        fleet_.kill_host(down_host_);
        kills_.push_back({.host = fleet_.hosts()[down_host_].name, .at = now_});
    }

    void start_host()
    {
        if (!fleet_.hosts()[down_host_].process) {
            fleet_.start_host(down_host_);
        }
    }

    void lose_answers()
    {
        platform_faults_.push_back({.from = now_});
        platform_fails_ = true;
        fleet_.control_platform(R"({"lose_answers":15})");
    }

    void end_platform_faults()
    {
        fleet_.control_platform(R"({"lose_answers":0,"down":false})");
        if (std::exchange(platform_fails_, false)) {
            platform_faults_.back().to = now_;
        }
    }

    // Controls reach an upstream again 400 ms before the next round.
    static constexpr milliseconds round_length{5500};
    std::vector<fault> const faults_{
        {milliseconds(200), [](auto& c) { c.close_execute("before"); }},
        {milliseconds(700), [](auto& c) { c.close_execute("during"); }},
        {milliseconds(1200), [](auto& c) { c.close_execute("after"); }},
        {milliseconds(1700), [](auto& c) { c.close_execute("none"); }},
        {milliseconds(1800), [](auto& c) { c.lose_answers(); }},
        {milliseconds(2300),
         [](auto& c) { c.fleet_.control_platform(R"({"down":true})"); }},
        {milliseconds(2600), [](auto& c) { c.end_platform_faults(); }},
        {milliseconds(2900), [](auto& c) { c.kill_host(); }},
        {milliseconds(3600), [](auto& c) { c.start_host(); }},
        {milliseconds(3700), [](auto& c) {
             c.fleet_.control_upstreams(R"({"refuse_connections_ms":1400})");
         }}};

    fleet& fleet_;
    std::size_t next_ = 0;
    std::int64_t round_ = 0;
    std::size_t down_host_ = 0;
    double now_ = 0;
    std::vector<host_kill> kills_;
    std::vector<time_span> platform_faults_;
    bool platform_fails_ = false;
};

double count(std::uint64_t n)
{
    return static_cast<double>(n);
}

void add_faults(fleet& f, fault_cycle const& faults, figures& out)
{
    for (auto const* it : {"closed_before", "closed_during", "closed_after",
                           "listener_closed"}) {
        out[it] = count(f.sum_upstreams(it));
    }
    auto const platform = f.platform_counters().value();
    out["platform_answers_lost"] = platform.at("lost").to_number<double>();
    out["platform_calls_dropped"] = platform.at("dropped").to_number<double>();
    out["hosts_killed"] = count(faults.kills().size());
}

std::optional<snipemill::claim> read_claim(fleet& f, std::string const& key)
{
    auto const path = snipemill::claim_key("stores-desk", key);
    auto const body =
        http_request_body(f.platform_port(), "GET",
                          "/objects/" + snipemill::percent_encode(path));
    auto const object = body ? snipemill::parse_object(*body) : std::nullopt;
    return object ? snipemill::parse_claim(object->value) : std::nullopt;
}

// The first sample of a key that fits; the key must have one.
template <class Fits>
submit_sample const& find_sample(std::vector<submit_sample> const& samples,
                                 std::string const& key, Fits fits)
{
    return *std::find_if(samples.begin(), samples.end(), [&](auto const& it) {
        return it.key == key && fits(it);
    });
}

// Whether docs/submit.md allows that a resend does not get this first answer:
// the outcome could not be written because of a fault of the platform, and the
// host was killed before it had written it again. The resend must then say
// that the first request has no outcome yet.
bool unrecorded(fault_cycle const& faults, submit_sample const& first,
                submit_sample const& again, snipemill::claim const& found)
{
    // Calls fail for up to 1250 ms after a fault: the circuit breaker.
    constexpr double breaker_ms = 1250;
    // The host repeats the write until 5 s after the deadline of 2 s.
    constexpr double settle_ms = 7000;
    auto const at = first.ended_ms;
    auto const in_fault =
        std::any_of(faults.platform_faults().begin(),
                    faults.platform_faults().end(), [&](auto const& it) {
                        return it.from <= at && at <= it.to + breaker_ms;
                    });
    auto const killed = std::any_of(
        faults.kills().begin(), faults.kills().end(), [&](auto const& it) {
            return found.nonce.starts_with(it.host + "/") && it.at >= at &&
                   it.at <= at + settle_ms;
        });
    return in_fault && killed && again.code == "in_progress" &&
           found.state == snipemill::claim_state::claimed;
}

struct lost_count
{
    std::uint64_t lost = 0;
    std::uint64_t unrecorded = 0;
};

// Prints what is known of each lost answer, so that its cause can be found.
lost_count sort_lost_answers(fleet& f, fault_cycle const& faults,
                             std::vector<submit_sample> const& samples,
                             std::vector<submit_sample> const& resends)
{
    lost_count out;
    for (auto const& key : lost_answers(samples, resends)) {
        auto const& first = find_sample(samples, key, [](auto const& it) {
            return it.kind == submit_kind::answered;
        });
        auto const& again =
            find_sample(resends, key, [](auto const&) { return true; });
        auto const found = read_claim(f, key);
        auto const allowed = found && unrecorded(faults, first, again, *found);
        ++(allowed ? out.unrecorded : out.lost);
        std::cerr << (allowed ? "unrecorded " : "lost ") << key
                  << " answered after " << first.ended_ms << " ms, claim "
                  << (found ? snipemill::write_claim(*found) : "missing")
                  << ", resend: " << again.status << ' ' << again.code << '\n';
    }
    for (auto const& it : faults.kills()) {
        std::cerr << it.host << " killed after " << it.at << " ms\n";
    }
    return out;
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
    // Long enough that several requests run when a fault begins.
    fleet f({.services = 6, .upstream_arguments = {"--latency-ms", "20"}});
    fault_cycle faults(f);
    submit_load_options load{
        .targets = f.caller_targets(),
        .rate = 120,
        .keys = 2400,
        .resends = {milliseconds(0), milliseconds(500)},
        .before = [&](milliseconds elapsed) { faults.step(elapsed); }};
    auto samples = run_submits(load);
    faults.end();
    // Resends run these keys, so they are compared with the run logs now.
    auto const at_first = check_submits(samples, run_log(f));
    load.before = {};
    load.resends.clear();
    load.rate = 300;
    load.seed = 2;
    auto const again = run_submits(load);
    auto const lost = sort_lost_answers(f, faults, samples, again);
    samples.insert(samples.end(), again.begin(), again.end());
    auto const check = check_submits(samples, run_log(f));
    figures out{
        {"keys", count(check.keys)},
        {"requests", count(samples.size())},
        {"ran", count(check.ran)},
        {"duplicates", count(check.duplicates)},
        {"not_run_checked", count(at_first.not_run)},
        {"false_not_run", count(at_first.false_not_run + check.false_not_run)},
        {"changed_answers", count(check.changed_answers)},
        {"false_answers", count(check.false_answers)},
        {"lost_answers", count(lost.lost)},
        {"unrecorded_answers", count(lost.unrecorded)},
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
