#include "testbed/load.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <cmath>

namespace testbed {

namespace {

namespace json = boost::json;
using namespace snipemill;
using steady = std::chrono::steady_clock;

void read_records(json::array const& records, query_sample& out)
{
    std::set<std::string> keys;
    out.records = records.size();
    for (auto const& it : records) {
        auto const& r = it.as_object();
        out.duplicate |=
            !keys.insert(std::string(r.at("key").as_string())).second;
        auto const* body = r.at("body").if_object();
        auto const* version = body ? body->if_contains("version") : nullptr;
        if (version != nullptr) {
            out.mixed |= version->to_number<std::uint64_t>() != out.snapshot;
        }
    }
}

void read_answer(json::object const& answer, query_sample& out)
{
    auto const& fraction = answer.at("coverage").as_object().at("fraction");
    if (!fraction.is_null()) {
        out.coverage = fraction.to_number<double>();
    }
    out.snapshot = answer.at("snapshot").to_number<std::uint64_t>();
    out.hedges = answer.at("hedges").to_number<std::uint32_t>();
    out.sub_requests = answer.at("sub_requests").to_number<std::uint32_t>();
    out.total = answer.at("total").to_number<std::uint64_t>();
    out.deadline_cut = answer.at("deadline_cut").as_bool();
    read_records(answer.at("records").as_array(), out);
}

query_sample read_sample(http_result const& result, double latency_ms)
{
    query_sample out{.latency_ms = latency_ms};
    auto const* response = std::get_if<http_response>(&result);
    if (response == nullptr) {
        return out;
    }
    out.status = response->status;
    boost::system::error_code ec;
    auto const value = json::parse(response->body, ec);
    if (ec || !value.is_object()) {
        out.status = 0;
        return out;
    }
    if (out.status == 200) {
        read_answer(value.as_object(), out);
    }
    else if (auto const* error = value.as_object().if_contains("error")) {
        out.code = std::string(error->at("code").as_string());
        out.run = std::string(error->at("run").as_string());
    }
    return out;
}

http_request request_for(load_options const& options, std::uint32_t i,
                         std::chrono::milliseconds elapsed)
{
    if (options.before) {
        options.before(i, elapsed);
    }
    return {.method = "POST",
            .target = "/v1/query",
            .body = options.body_of ? options.body_of(i) : options.body};
}

} // namespace

std::vector<query_sample> run_load(load_options const& options)
{
    std::vector<query_sample> samples(options.count);
    run_requests(
        {.targets = &options.targets,
         .count = options.count,
         .timeout = options.timeout,
         .at =
             [&](std::size_t i) {
                 return std::chrono::duration_cast<steady::duration>(
                     std::chrono::duration<double>(static_cast<double>(i) /
                                                   options.rate));
             },
         .target = [&](std::size_t i) { return i % options.targets.size(); },
         .make =
             [&](std::size_t i, std::chrono::milliseconds elapsed) {
                 return request_for(options, static_cast<std::uint32_t>(i),
                                    elapsed);
             },
         .done =
             [&](std::size_t i, http_result const& result, double latency_ms) {
                 samples[i] = read_sample(result, latency_ms);
             }});
    return samples;
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    auto const rank = std::ceil(fraction * static_cast<double>(values.size()));
    auto const index = std::max(1.0, rank) - 1;
    return values[static_cast<std::size_t>(index)];
}

std::vector<double> latencies(std::vector<query_sample> const& samples)
{
    std::vector<double> out;
    out.reserve(samples.size());
    for (auto const& it : samples) {
        out.push_back(it.latency_ms);
    }
    return out;
}

} // namespace testbed
