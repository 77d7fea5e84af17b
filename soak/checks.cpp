#include "checks.hpp"

#include "platform/names.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iostream>
#include <utility>

namespace soak {

namespace {

using std::chrono::milliseconds;

// Bounds of the settings' defaults, with the time in which a change passes a
// busy machine.
constexpr milliseconds drain_bound{3000};
constexpr milliseconds stability{4000};

// Extra arrivals at a service in any window, beyond the ratio of its requests.
constexpr double repeat_ratio = 0.2;
constexpr double retry_slack = 48;
constexpr milliseconds repeat_window{10'000};

constexpr std::size_t top = 5;
constexpr double min_share = 0.6;

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

// The greatest records of the bodies, falling.
std::string merged(std::vector<std::string const*> const& bodies)
{
    std::vector<std::string> records;
    for (auto const* const it : bodies) {
        constexpr auto n = snipemill::platform::names::record_bytes;
        for (std::size_t at = 0; at + n <= it->size(); at += n) {
            records.push_back(it->substr(at, n));
        }
    }
    std::sort(records.rbegin(), records.rend());
    records.resize(std::min(records.size(), top));
    std::string out;
    for (auto const& it : records) {
        out += it;
    }
    return out;
}

} // namespace

bool promises_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

void checker::fail(std::string line)
{
    std::cout << "BROKEN " << line << std::endl;
    failures_.push_back(std::move(line));
}

void checker::on_end(attempt_end const& it)
{
    ++asked_;
    if (it.kind == ask::wide) {
        for (auto const& shard : world_.manifest().shards) {
            asked_at_[shard].push_back(it.sent);
        }
    }
    else {
        asked_at_[single_service].push_back(it.sent);
    }
    if (it.kind == ask::once) {
        once_.insert(it.id);
    }
    if (promises_not_run(it.status)) {
        refused_.insert(it.id);
    }
    if (it.status == 404 || it.status == 400 || it.status == 413) {
        fail("request " + it.id + " of a route of every version got " +
             std::to_string(it.status));
    }
    if (it.status == 200) {
        ++served_;
        it.kind == ask::wide ? check_wide(it) : check_single(it);
    }
}

void checker::check_single(attempt_end const& it)
{
    auto const& runs = world_.runs()[it.id];
    bool const known =
        std::any_of(runs.begin(), runs.end(), [&](auto const& run) {
            return run.stamp == it.stamps && run.body == it.body;
        });
    if (!known) {
        fail("request " + it.id + " got an answer that no upstream gave it");
    }
}

void checker::check_wide(attempt_end const& it)
{
    auto const& runs = world_.runs()[it.id];
    std::set<std::string> services;
    std::vector<std::string const*> bodies;
    for (auto const& stamp : split(it.stamps)) {
        auto const run =
            std::find_if(runs.begin(), runs.end(),
                         [&](auto const& r) { return r.stamp == stamp; });
        if (run == runs.end()) {
            fail("query " + it.id + " names a part that is not its own");
            return;
        }
        if (!services.insert(run->service).second) {
            fail("query " + it.id + " names two parts of one shard");
            return;
        }
        bodies.push_back(&run->body);
    }
    std::size_t missing = 0;
    std::from_chars(it.missing.data(), it.missing.data() + it.missing.size(),
                    missing);
    auto const all = services.size() + missing;
    bool const one_version = std::any_of(
        world_.manifests().begin(), world_.manifests().end(),
        [&](manifest_state const& state) {
            return state.shards.size() == all &&
                   std::includes(state.shards.begin(), state.shards.end(),
                                 services.begin(), services.end());
        });
    if (!one_version) {
        fail("query " + it.id + " has parts that make up no version's shards");
    }
    if (static_cast<double>(services.size()) <
        min_share * static_cast<double>(all) - 1e-9) {
        fail("query " + it.id + " has too few parts");
    }
    if (merged(bodies) != it.body) {
        fail("query " + it.id + " has other records than its parts");
    }
}

void checker::look(steady_time now)
{
    bool const calm = now - world_.store_disturbed() > stability;
    bool const all_calm = std::all_of(
        world_.hosts().begin(), world_.hosts().end(), [&](auto const& it) {
            return now - it->disturbed > stability + drain_bound;
        });
    for (auto const& it : world_.upstreams()) {
        if (!it->draining || !it->server || !calm || !all_calm) {
            continue;
        }
        auto const last = it->server->last_arrival();
        if (last > it->drained_at + drain_bound + milliseconds(500) &&
            now - last < milliseconds(500)) {
            fail("upstream " + it->server->options().instance +
                 " got a request " +
                 std::to_string(std::chrono::duration_cast<milliseconds>(
                                    last - it->drained_at)
                                    .count()) +
                 " ms after it had announced its leave");
            it->draining = false; // told once
        }
    }
}

void checker::check_repeats()
{
    std::map<std::string, std::vector<steady_time>> extra; // by service
    for (auto const& [id, runs] : world_.runs()) {
        std::map<std::string, int> seen;
        for (auto const& run : runs) {
            if (++seen[run.service] > 1) {
                extra[run.service].push_back(run.at);
            }
        }
    }
    for (auto& [service, at] : extra) {
        auto& asked = asked_at_[service];
        std::sort(at.begin(), at.end());
        std::sort(asked.begin(), asked.end());
        for (std::size_t i = 0; i < at.size(); ++i) {
            auto const from = at[i] - repeat_window;
            auto const first = std::upper_bound(at.begin(), at.end(), from);
            auto const n = static_cast<double>(i + 1) -
                           static_cast<double>(first - at.begin());
            auto const requests = static_cast<double>(
                std::upper_bound(asked.begin(), asked.end(), at[i]) -
                std::upper_bound(asked.begin(), asked.end(), from));
            if (n > repeat_ratio * requests + retry_slack) {
                fail("service " + service + " got " + std::to_string(n) +
                     " repeats for " + std::to_string(requests) +
                     " requests in 10 s");
                break;
            }
        }
    }
}

void checker::finish()
{
    for (auto const& id : refused_) {
        auto const runs = world_.runs().find(id);
        // Parts of a query may be repeated, but not after "not run".
        if (runs != world_.runs().end() && !runs->second.empty()) {
            fail("request " + id + " was told not to have run, and ran");
        }
    }
    for (auto const& id : once_) {
        auto const runs = world_.runs().find(id);
        if (runs != world_.runs().end() && runs->second.size() > 1) {
            fail("request " + id + " may run once and ran " +
                 std::to_string(runs->second.size()) + " times");
        }
    }
    check_repeats();
}

} // namespace soak
