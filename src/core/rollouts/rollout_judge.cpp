#include "core/rollouts/rollout_judge.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace snipemill {

namespace {

std::uint64_t difference(std::uint64_t now, std::uint64_t before)
{
    return now > before ? now - before : 0;
}

version_counts difference(version_counts const& now,
                          version_counts const& before)
{
    version_counts out{.sent = difference(now.sent, before.sent),
                       .ended = difference(now.ended, before.ended),
                       .failed = difference(now.failed, before.failed)};
    for (std::size_t i = 0; i < latency_counts::size; ++i) {
        out.latencies.counts[i] =
            difference(now.latencies.counts[i], before.latencies.counts[i]);
    }
    return out;
}

void add_to(version_counts& sum, version_counts const& it)
{
    sum.sent += it.sent;
    sum.ended += it.ended;
    sum.failed += it.failed;
    for (std::size_t i = 0; i < latency_counts::size; ++i) {
        sum.latencies.counts[i] += it.latencies.counts[i];
    }
}

std::uint64_t answered(version_counts const& it)
{
    return std::accumulate(it.latencies.counts.begin(),
                           it.latencies.counts.end(), std::uint64_t(0));
}

std::uint64_t slower(version_counts const& it, std::size_t bucket)
{
    return std::accumulate(it.latencies.counts.begin() +
                               static_cast<std::ptrdiff_t>(bucket) + 1,
                           it.latencies.counts.end(), std::uint64_t(0));
}

// Upper bound of the bucket that holds the median.
duration median(version_counts const& it)
{
    auto left = (answered(it) + 1) / 2;
    for (std::size_t i = 0; i < latency_counts::size; ++i) {
        if (it.latencies.counts[i] >= left) {
            auto const ms = 0.25 * std::exp2(static_cast<double>(i + 1) / 4);
            return std::chrono::duration_cast<duration>(
                std::chrono::duration<double, std::milli>(ms));
        }
        left -= it.latencies.counts[i];
    }
    return {};
}

// Probability of at least k successes among n, each with probability p.
double binomial_tail(std::uint64_t k, std::uint64_t n, double p)
{
    double out = 0;
    auto const count = static_cast<double>(n);
    for (auto i = k; i <= n; ++i) {
        auto const x = static_cast<double>(i);
        auto const term =
            std::exp(std::lgamma(count + 1) - std::lgamma(x + 1) -
                     std::lgamma(count - x + 1) + x * std::log(p) +
                     (count - x) * std::log1p(-p));
        out += term;
        // Beyond the mean the terms fall.
        if (x > count * p && term < out * 1e-6) {
            break;
        }
    }
    return out;
}

} // namespace

bool rollout_judge::is_chance(std::uint64_t bad, std::uint64_t n,
                              double usual) const
{
    auto const expected = usual * static_cast<double>(n);
    return bad < settings_.min_bad || usual >= 1 ||
           static_cast<double>(bad) <= expected ||
           binomial_tail(bad, n, usual) >= settings_.error_chance;
}

void rollout_judge::on_report(rollout_report const& report, time_point now)
{
    auto& host = hosts_[report.host];
    auto const number = now.time_since_epoch() / settings_.interval;
    auto const before =
        host.last.incarnation == report.incarnation &&
                host.last.target_version == report.target_version
            ? std::exchange(host.last, report).routes
            : (host.last = report, std::vector<route_counts>());
    host.at = now;
    for (auto const& it : report.routes) {
        auto const known =
            std::find_if(before.begin(), before.end(), [&](auto const& other) {
                return other.route == it.route;
            });
        route_counts change = it;
        if (known != before.end()) {
            change.previous = difference(it.previous, known->previous);
            change.target = difference(it.target, known->target);
        }
        add(routes_[it.route], change, number);
    }
}

void rollout_judge::add(route_state& it, route_counts const& change,
                        std::int64_t number)
{
    add_to(it.previous, change.previous);
    add_to(it.target, change.target);
    if (change.target.ended == 0) {
        return;
    }
    if (it.intervals.empty() || it.intervals.back().number < number) {
        it.intervals.push_back({.number = number});
    }
    add_to(it.intervals.back().target, change.target);
    if (it.intervals.size() > settings_.max_intervals) {
        it.intervals.pop_front();
    }
}

void rollout_judge::evidence::add(evidence const& it)
{
    bad += it.bad;
    answers += it.answers;
    previous_bad += it.previous_bad;
    previous_answers += it.previous_answers;
    for (auto const& [number, part] : it.intervals) {
        intervals[number].bad += part.bad;
        intervals[number].answers += part.answers;
    }
}

// The recent intervals are the last ones with answers: few requests of a route
// spread over more time.
rollout_judge::evidence rollout_judge::collect(route_state const& it,
                                               badness kind, bool recent) const
{
    auto const usual = median(it.previous);
    auto const bound = std::max(
        std::chrono::duration_cast<duration>(usual * settings_.slow_factor),
        usual + settings_.slow_margin);
    auto const bucket = latency_counts::bucket_of(bound);
    auto const bad = [&](version_counts const& counts) {
        return kind == badness::failures ? counts.failed
                                         : slower(counts, bucket);
    };
    auto const all = [&](version_counts const& counts) {
        return answered(counts) +
               (kind == badness::failures ? counts.failed : 0);
    };
    evidence out{.previous_bad = bad(it.previous),
                 .previous_answers = all(it.previous)};
    // Without a usual latency nothing is slow.
    if (kind == badness::latency &&
        out.previous_answers < settings_.min_median) {
        return {};
    }
    auto const n = it.intervals.size();
    auto const first =
        recent ? n - std::min<std::size_t>(n, settings_.recent_intervals) : 0;
    for (auto i = first; i < n; ++i) {
        auto const& part = it.intervals[i];
        out.intervals[part.number] = {.bad = bad(part.target),
                                      .answers = all(part.target)};
        out.bad += recent ? bad(part.target) : 0;
        out.answers += recent ? all(part.target) : 0;
    }
    if (!recent) {
        out.bad = bad(it.target);
        out.answers = all(it.target);
    }
    return out;
}

bool rollout_judge::is_clustered(evidence const& it) const
{
    interval_evidence sum;
    for (auto const& [number, part] : it.intervals) {
        sum.bad += part.bad;
        sum.answers += part.answers;
    }
    if (sum.answers == 0) {
        return true;
    }
    auto const good =
        1 - static_cast<double>(sum.bad) / static_cast<double>(sum.answers);
    double expected = 0;
    for (auto const& [number, part] : it.intervals) {
        expected += 1 - std::pow(good, static_cast<double>(part.answers));
    }
    return static_cast<double>(bad_intervals(it)) <
           settings_.min_spread * expected;
}

std::size_t rollout_judge::bad_intervals(evidence const& it)
{
    return static_cast<std::size_t>(
        std::count_if(it.intervals.begin(), it.intervals.end(),
                      [](auto const& part) { return part.second.bad > 0; }));
}

std::optional<rollout_verdict> rollout_judge::judge(std::string const& route,
                                                    badness kind,
                                                    evidence const& it) const
{
    bool const failures = kind == badness::failures;
    auto const intervals =
        failures ? settings_.failed_intervals : settings_.slow_intervals;
    if (it.previous_answers < settings_.min_previous ||
        bad_intervals(it) < intervals) {
        return std::nullopt;
    }
    auto const usual =
        std::max(failures ? settings_.usual_failures : settings_.usual_slow,
                 static_cast<double>(it.previous_bad + 1) /
                     static_cast<double>(it.previous_answers + 2));
    if (is_chance(it.bad, it.answers, usual) || is_clustered(it)) {
        return std::nullopt;
    }
    return rollout_verdict{.route = route,
                           .reason = failures ? "failures" : "latency",
                           .bad = it.bad,
                           .answers = it.answers,
                           .usual = usual};
}

std::optional<rollout_verdict> rollout_judge::judge_all(badness kind,
                                                        bool recent) const
{
    evidence sum;
    for (auto const& [name, it] : routes_) {
        auto const found = collect(it, kind, recent);
        if (auto out = judge(name, kind, found)) {
            return out;
        }
        sum.add(found);
    }
    return judge("", kind, sum);
}

std::optional<rollout_verdict> rollout_judge::verdict() const
{
    for (auto const kind : {badness::failures, badness::latency}) {
        for (bool const recent : {true, false}) {
            if (auto out = judge_all(kind, recent)) {
                return out;
            }
        }
    }
    return std::nullopt;
}

std::uint64_t rollout_judge::requests() const
{
    return std::accumulate(routes_.begin(), routes_.end(), std::uint64_t(0),
                           [](auto n, auto const& it) {
                               return n + it.second.previous.sent +
                                      it.second.target.sent;
                           });
}

std::uint64_t rollout_judge::target_requests() const
{
    return std::accumulate(
        routes_.begin(), routes_.end(), std::uint64_t(0),
        [](auto n, auto const& it) { return n + it.second.target.sent; });
}

bool rollout_judge::moved(std::vector<std::string> const& hosts,
                          time_point since) const
{
    return std::all_of(hosts.begin(), hosts.end(), [&](auto const& name) {
        auto const it = hosts_.find(name);
        if (it == hosts_.end() || it->second.at < since ||
            it->second.last.share < 1) {
            return false;
        }
        auto const& routes = it->second.last.routes;
        return std::all_of(routes.begin(), routes.end(), [](auto const& route) {
            return route.previous.sent == route.previous.ended;
        });
    });
}

} // namespace snipemill
