#include "invariant_checker.hpp"

#include "platform/names.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iostream>
#include <utility>

namespace soak {

namespace {

using std::chrono::milliseconds;

// Time in which all hosts must stop sending to a draining upstream, and time
// after a fault in which late requests to such an upstream are not reported.
// Both are limits of the default settings plus the time that a change takes to
// spread on a busy machine.
constexpr milliseconds drain_limit{3000};
constexpr milliseconds settle_time{4000};

// In any window the extra attempts at a service may be at most this ratio of
// its requests, plus the slack.
constexpr double retry_ratio = 0.2;
constexpr double retry_slack = 48;
constexpr milliseconds retry_window{10'000};

// After a request has ended this many upstreams, and a settle time has passed,
// hosts without faults may let it through in this many attempts of its caller.
constexpr std::size_t accepted_crashes = 3;
constexpr std::size_t accepted_late_attempts = 3;

// Settings of the gather route in standin::manifest_document().
constexpr std::size_t top_k = 5;
constexpr double min_shard_share = 0.6;

std::vector<std::string> split(std::string const& list)
{
    std::vector<std::string> out;
    std::string item;
    for (char const c : list + ",") {
        if (c == ',') {
            if (!item.empty()) {
                out.push_back(std::exchange(item, {}));
            }
        }
        else if (c != ' ') {
            item += c;
        }
    }
    return out;
}

// Returns the top_k greatest records of all bodies, in descending order.
std::string merge_records(std::vector<std::string const*> const& bodies)
{
    std::vector<std::string> records;
    for (auto const* const it : bodies) {
        constexpr auto n = snipemill::platform::names::record_bytes;
        for (std::size_t at = 0; at + n <= it->size(); at += n) {
            records.push_back(it->substr(at, n));
        }
    }
    std::sort(records.rbegin(), records.rend());
    records.resize(std::min(records.size(), top_k));
    std::string out;
    for (auto const& it : records) {
        out += it;
    }
    return out;
}

} // namespace

bool means_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

void invariant_checker::report_violation(std::string line)
{
    std::cout << "BROKEN " << line << std::endl;
    violations_.push_back(std::move(line));
}

void invariant_checker::on_outcome(request_outcome const& it)
{
    if (it.crashing) {
        if (it.status == 200) {
            report_violation("crashing request " + it.id + " was answered");
        }
        if (means_not_run(it.status)) {
            not_run_.insert(it.id);
        }
        return;
    }
    ++completed_;
    if (it.kind == request_kind::fan_out) {
        for (auto const& shard : fleet_.manifest().shards) {
            request_times_[shard].push_back(it.sent);
        }
    }
    else {
        request_times_[single_service].push_back(it.sent);
    }
    if (it.kind == request_kind::non_idempotent) {
        non_idempotent_.insert(it.id);
    }
    if (means_not_run(it.status)) {
        not_run_.insert(it.id);
    }
    if (it.status == 404 || it.status == 400 || it.status == 413) {
        report_violation("request " + it.id +
                         " to a route that every manifest has got status " +
                         std::to_string(it.status));
    }
    if (it.status == 200) {
        ++served_;
        it.kind == request_kind::fan_out ? check_fan_out(it) : check_single(it);
    }
}

void invariant_checker::check_single(request_outcome const& it)
{
    auto const& runs = fleet_.runs()[it.id];
    bool const answer_known =
        std::any_of(runs.begin(), runs.end(), [&](auto const& run) {
            return run.stamp == it.stamps && run.body == it.body;
        });
    if (!answer_known) {
        report_violation(
            "request " + it.id +
            " got an answer that no upstream gave to this request");
    }
}

void invariant_checker::check_fan_out(request_outcome const& it)
{
    auto const& runs = fleet_.runs()[it.id];
    std::set<std::string> services;
    std::vector<std::string const*> bodies;
    for (auto const& stamp : split(it.stamps)) {
        auto const run =
            std::find_if(runs.begin(), runs.end(),
                         [&](auto const& r) { return r.stamp == stamp; });
        if (run == runs.end()) {
            report_violation(
                "query " + it.id +
                " has the stamp of a shard answer to another request");
            return;
        }
        if (!services.insert(run->service).second) {
            report_violation("query " + it.id +
                             " has two answers of one shard");
            return;
        }
        bodies.push_back(&run->body);
    }
    std::size_t missing = 0;
    std::from_chars(it.missing.data(), it.missing.data() + it.missing.size(),
                    missing);
    auto const shard_count = services.size() + missing;
    bool const one_version = std::any_of(
        fleet_.manifests().begin(), fleet_.manifests().end(),
        [&](manifest_state const& state) {
            return state.shards.size() == shard_count &&
                   std::includes(state.shards.begin(), state.shards.end(),
                                 services.begin(), services.end());
        });
    if (!one_version) {
        report_violation(
            "query " + it.id +
            " has answers of shards that match no version of the manifest");
    }
    if (static_cast<double>(services.size()) <
        min_shard_share * static_cast<double>(shard_count) - 1e-9) {
        report_violation("query " + it.id + " has too few shard answers");
    }
    if (merge_records(bodies) != it.body) {
        report_violation(
            "query " + it.id +
            " has records that differ from the merged shard answers");
    }
}

void invariant_checker::on_crashing_request(std::string const& id,
                                            std::string const& path,
                                            host const& to)
{
    crashing_attempts_[id] = {.path = path, .to = &to};
}

bool invariant_checker::settled(host const& it, steady_time now) const
{
    return now - it.last_fault_at > settle_time;
}

void invariant_checker::on_crash(std::string const& id)
{
    auto const now = std::chrono::steady_clock::now();
    auto const& attempt = crashing_attempts_[id];
    auto& it = crashing_[attempt.path];
    if (++it.crashes == accepted_crashes) {
        it.third_crash = now;
    }
    // The first hosts may have run the request as relays.
    constexpr std::size_t relays = 4;
    auto const& hosts = fleet_.hosts();
    bool const in_touch =
        settled(*attempt.to, now) &&
        now - fleet_.last_store_fault() > settle_time &&
        std::all_of(hosts.begin(),
                    hosts.begin() + static_cast<std::ptrdiff_t>(
                                        std::min(relays, hosts.size())),
                    [&](auto const& relay) { return settled(*relay, now); });
    if (it.crashes > accepted_crashes && in_touch &&
        now - it.third_crash > settle_time && it.late.insert(id).second &&
        it.late.size() == accepted_late_attempts + 1) {
        report_violation("crashing request " + attempt.path + " was sent " +
                         std::to_string(it.late.size()) +
                         " times after it had ended three upstreams; " +
                         std::to_string(it.crashes) + " ended in all");
    }
}

void invariant_checker::check_draining(steady_time now)
{
    bool const store_settled = now - fleet_.last_store_fault() > settle_time;
    bool const hosts_settled = std::all_of(
        fleet_.hosts().begin(), fleet_.hosts().end(), [&](auto const& it) {
            return now - it->last_fault_at > settle_time + drain_limit;
        });
    for (auto const& it : fleet_.upstreams()) {
        if (!it->draining || !it->server || !store_settled || !hosts_settled) {
            continue;
        }
        auto const last = it->server->last_arrival();
        if (last > it->draining_since + drain_limit + milliseconds(500) &&
            now - last < milliseconds(500)) {
            report_violation(
                "upstream " + it->server->options().instance +
                " got a request " +
                std::to_string(std::chrono::duration_cast<milliseconds>(
                                   last - it->draining_since)
                                   .count()) +
                " ms after it began to drain");
            it->draining = false; // reported only once
        }
    }
}

void invariant_checker::check_retry_budget()
{
    std::map<std::string, std::vector<steady_time>> extra; // by service
    for (auto const& [id, runs] : fleet_.runs()) {
        std::map<std::string, int> seen;
        for (auto const& run : runs) {
            if (++seen[run.service] > 1) {
                extra[run.service].push_back(run.at);
            }
        }
    }
    for (auto& [service, at] : extra) {
        auto& requests_at = request_times_[service];
        std::sort(at.begin(), at.end());
        std::sort(requests_at.begin(), requests_at.end());
        for (std::size_t i = 0; i < at.size(); ++i) {
            auto const from = at[i] - retry_window;
            auto const first = std::upper_bound(at.begin(), at.end(), from);
            auto const n = static_cast<double>(i + 1) -
                           static_cast<double>(first - at.begin());
            auto const requests = static_cast<double>(
                std::upper_bound(requests_at.begin(), requests_at.end(),
                                 at[i]) -
                std::upper_bound(requests_at.begin(), requests_at.end(), from));
            if (n > retry_ratio * requests + retry_slack) {
                report_violation("service " + service + " got " +
                                 std::to_string(n) + " extra attempts for " +
                                 std::to_string(requests) +
                                 " requests in 10 s");
                break;
            }
        }
    }
}

void invariant_checker::finish()
{
    for (auto const& id : not_run_) {
        auto const runs = fleet_.runs().find(id);
        // Shard answers of a fan-out query may be fetched again, but a query
        // that was answered as not run must have reached no upstream.
        if (runs != fleet_.runs().end() && !runs->second.empty()) {
            report_violation("request " + id +
                             " was answered as not run but ran");
        }
    }
    for (auto const& id : non_idempotent_) {
        auto const runs = fleet_.runs().find(id);
        if (runs != fleet_.runs().end() && runs->second.size() > 1) {
            report_violation("request " + id + " is not idempotent but ran " +
                             std::to_string(runs->second.size()) + " times");
        }
    }
    check_retry_budget();
    for (auto const& [path, it] : crashing_) {
        std::cout << "crashing request " << path << " ended " << it.crashes
                  << " upstreams\n";
    }
}

} // namespace soak
