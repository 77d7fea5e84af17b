#include "testbed/load.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <cmath>
#include <memory>

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

// Sends the queries of one run at their times.
class load_run
{
public:
    explicit load_run(load_options const& options)
        : options_(options), timer_(io_), samples_(options.count)
    {
        for (auto const& it : options.targets) {
            clients_.push_back(std::make_unique<http_client>(
                io_, http_client_options{.ip = it.ip,
                                         .port = it.port,
                                         .max_connections = 256}));
        }
    }

    std::vector<query_sample> run()
    {
        start_ = steady::now();
        wait_next();
        io_.run();
        return std::move(samples_);
    }

private:
    void wait_next()
    {
        if (next_ == options_.count) {
            return;
        }
        auto const offset = std::chrono::duration<double>(
            static_cast<double>(next_) / options_.rate);
        timer_.expires_at(start_ +
                          std::chrono::duration_cast<steady::duration>(offset));
        timer_.async_wait([this](boost::system::error_code) {
            send();
            wait_next();
        });
    }

    void send()
    {
        auto const i = next_++;
        auto const now = steady::now();
        if (options_.before) {
            options_.before(
                i, std::chrono::duration_cast<std::chrono::milliseconds>(
                       now - start_));
        }
        http_request request{.method = "POST",
                             .target = "/v1/query",
                             .body = options_.body_of ? options_.body_of(i)
                                                      : options_.body};
        clients_[i % clients_.size()]->send(
            std::move(request), options_.timeout,
            [this, i, now](http_result const& result) {
                std::chrono::duration<double, std::milli> const took =
                    steady::now() - now;
                samples_[i] = read_sample(result, took.count());
                if (++done_ == options_.count) {
                    io_.stop();
                }
            });
    }

    load_options const& options_;
    boost::asio::io_context io_;
    boost::asio::steady_timer timer_;
    std::vector<std::unique_ptr<http_client>> clients_;
    std::vector<query_sample> samples_;
    steady::time_point start_;
    std::uint32_t next_ = 0;
    std::uint32_t done_ = 0;
};

} // namespace

std::vector<query_sample> run_load(load_options const& options)
{
    return load_run(options).run();
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
