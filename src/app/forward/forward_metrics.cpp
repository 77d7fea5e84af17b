#include "app/forward/forward_metrics.hpp"

#include <prometheus/text_serializer.h>

namespace snipemill {

namespace {

// Upper bounds in seconds. Latency objectives lie between 40 and 500 ms.
prometheus::Histogram::BucketBoundaries const latency_buckets{
    0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.08, 0.12, 0.25, 0.5, 1, 2.5};

// Accounts that have metrics of their own. Manifests may name any number.
constexpr std::size_t max_accounts = 200;

} // namespace

forward_metrics::forward_metrics()
    : requests_(prometheus::BuildCounter()
                    .Name("snipemill_forward_requests_total")
                    .Help("Requests of callers, by status")
                    .Register(registry_)),
      latency_(prometheus::BuildHistogram()
                   .Name("snipemill_forward_latency_seconds")
                   .Help("Time from arrival to answer, by route")
                   .Register(registry_)),
      capped_(prometheus::BuildCounter()
                  .Name("snipemill_forward_capped_requests_total")
                  .Help("Requests of accounts with a usage cap, by outcome")
                  .Register(registry_))
{}

void forward_metrics::request_ended(std::string const& route, unsigned status,
                                    double seconds)
{
    requests_.Add({{"status", std::to_string(status)}}).Increment();
    if (!route.empty()) {
        latency_.Add({{"route", route}}, latency_buckets).Observe(seconds);
    }
}

void forward_metrics::capped_request(std::string const& account,
                                     std::string_view outcome)
{
    bool own = false;
    {
        std::lock_guard const lock(mutex_);
        own = accounts_.contains(account) || (accounts_.size() < max_accounts &&
                                              accounts_.insert(account).second);
    }
    capped_
        .Add({{"account", own ? account : "other"},
              {"outcome", std::string(outcome)}})
        .Increment();
}

void forward_metrics::set_counter(std::string const& name, std::uint64_t value)
{
    auto& it = prometheus::BuildCounter()
                   .Name("snipemill_forward_" + name + "_total")
                   .Register(registry_)
                   .Add({});
    auto const delta = static_cast<double>(value) - it.Value();
    if (delta > 0) {
        it.Increment(delta);
    }
}

void forward_metrics::set_gauge(std::string const& name, double value)
{
    prometheus::BuildGauge()
        .Name("snipemill_forward_" + name)
        .Register(registry_)
        .Add({})
        .Set(value);
}

std::string forward_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

} // namespace snipemill
