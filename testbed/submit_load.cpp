#include "testbed/submit_load.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <random>

namespace testbed {

namespace {

namespace json = boost::json;
using namespace snipemill;
using steady = std::chrono::steady_clock;

constexpr duration answer_timeout = from_ms(10'000);

struct planned_request
{
    steady::duration at{};
    std::uint32_t key = 0;
    std::size_t target = 0;
};

// Another target than the last one, if there is more than one.
std::size_t next_target(std::mt19937_64& random, std::size_t count,
                        std::size_t last)
{
    if (count < 2) {
        return 0;
    }
    return (last + 1 + random() % (count - 1)) % count;
}

std::vector<planned_request> plan_of(submit_load_options const& options)
{
    std::mt19937_64 random(options.seed);
    std::vector<planned_request> out;
    for (std::uint32_t key = 0; key < options.keys; ++key) {
        auto const start = std::chrono::duration_cast<steady::duration>(
            std::chrono::duration<double>(key / options.rate));
        auto target = random() % options.targets.size();
        out.push_back({.at = start, .key = key, .target = target});
        for (auto const& it : options.resends) {
            target = next_target(random, options.targets.size(), target);
            out.push_back({.at = start + it, .key = key, .target = target});
        }
    }
    std::stable_sort(out.begin(), out.end(),
                     [](auto const& a, auto const& b) { return a.at < b.at; });
    return out;
}

void read_refusal(json::value const& error, submit_sample& out)
{
    out.code = std::string(error.at("code").as_string());
    auto const& run = error.at("run").as_string();
    out.kind = run == "not_run" ? submit_kind::not_run : submit_kind::unknown;
}

void read_result(http_result const& result, submit_sample& out)
{
    auto const* response = std::get_if<http_response>(&result);
    if (response == nullptr) {
        return;
    }
    boost::system::error_code ec;
    auto const value = json::parse(response->body, ec);
    if (ec || !value.is_object()) {
        return;
    }
    out.status = response->status;
    if (auto const* error = value.as_object().if_contains("error")) {
        read_refusal(*error, out);
        return;
    }
    out.kind = submit_kind::answered;
    out.body = response->body;
    for (auto const& [name, text] : response->headers) {
        out.repeated |= name == "idempotent-replayed" && text == "true";
    }
}

http_request request_for(submit_load_options const& options, std::uint32_t key)
{
    auto const number = std::to_string(key);
    return {.method = "POST",
            .target = "/v1/submit",
            .headers = {{"Idempotency-Key", options.prefix + "-" + number}},
            .body = R"({"group":"stores-desk","request":{"order":)" + number +
                    R"(},"deadline_ms":)" +
                    std::to_string(options.deadline_ms) + "}"};
}

// What the requests with one key led to.
struct key_outcome
{
    bool answered = false;
    bool told_not_run = false;
    bool may_have_run = false;
    bool changed = false;
    unsigned status = 0;
    std::string body;

    bool not_run() const { return told_not_run && !may_have_run; }
};

std::map<std::string, key_outcome>
outcomes_of(std::vector<submit_sample> const& samples)
{
    std::map<std::string, key_outcome> out;
    for (auto const& it : samples) {
        auto& key = out[it.key];
        auto const not_run = it.kind == submit_kind::not_run;
        key.told_not_run |= not_run;
        key.may_have_run |= !not_run && it.code != "in_progress";
        if (it.kind != submit_kind::answered) {
            continue;
        }
        key.changed |=
            key.answered && (key.body != it.body || key.status != it.status);
        key.answered = true;
        key.body = it.body;
        key.status = it.status;
    }
    return out;
}

} // namespace

std::vector<submit_sample> run_submits(submit_load_options const& options)
{
    auto const plan = plan_of(options);
    std::vector<submit_sample> samples(plan.size());
    run_requests(
        {.targets = &options.targets,
         .count = plan.size(),
         .timeout = answer_timeout,
         .at = [&](std::size_t i) { return plan[i].at; },
         .target = [&](std::size_t i) { return plan[i].target; },
         .make =
             [&](std::size_t i, std::chrono::milliseconds elapsed) {
                 if (options.before) {
                     options.before(elapsed);
                 }
                 auto request = request_for(options, plan[i].key);
                 samples[i].key = request.headers.front().second;
                 samples[i].ended_ms = static_cast<double>(elapsed.count());
                 return request;
             },
         .done =
             [&](std::size_t i, http_result const& result, double latency_ms) {
                 samples[i].ended_ms += latency_ms;
                 read_result(result, samples[i]);
             }});
    return samples;
}

std::map<std::string, std::uint64_t> run_log(fleet& f)
{
    std::map<std::string, std::uint64_t> out;
    for (auto const port : f.upstream_ports()) {
        auto const body = http_request_body(port, "GET", "/control/log");
        // A log that is missing would hide runs.
        auto const log = json::parse(body.value());
        for (auto const& it : log.at("executed").as_object()) {
            out[std::string(it.key())] += it.value().to_number<std::uint64_t>();
        }
    }
    return out;
}

submit_check check_submits(std::vector<submit_sample> const& samples,
                           std::map<std::string, std::uint64_t> const& runs)
{
    submit_check out;
    for (auto const& [key, it] : outcomes_of(samples)) {
        auto const found = runs.find(key);
        auto const n = found == runs.end() ? 0 : found->second;
        ++out.keys;
        out.ran += n > 0 ? 1 : 0;
        out.duplicates += n > 1 ? 1 : 0;
        out.false_not_run += it.not_run() && n > 0 ? 1 : 0;
        out.changed_answers += it.changed ? 1 : 0;
        out.false_answers += it.answered && n == 0 ? 1 : 0;
        out.answered += it.answered ? 1 : 0;
        out.unknown += !it.answered && !it.not_run() ? 1 : 0;
        out.not_run += it.not_run() ? 1 : 0;
    }
    return out;
}

std::vector<std::string> lost_answers(std::vector<submit_sample> const& first,
                                      std::vector<submit_sample> const& later)
{
    auto const before = outcomes_of(first);
    auto const after = outcomes_of(later);
    std::vector<std::string> out;
    for (auto const& [key, it] : before) {
        auto const found = after.find(key);
        auto const same = found != after.end() && found->second.answered &&
                          found->second.body == it.body &&
                          found->second.status == it.status;
        if (it.answered && !same) {
            out.push_back(key);
        }
    }
    return out;
}

std::uint64_t count_lost_answers(std::vector<submit_sample> const& first,
                                 std::vector<submit_sample> const& later)
{
    return lost_answers(first, later).size();
}

} // namespace testbed
