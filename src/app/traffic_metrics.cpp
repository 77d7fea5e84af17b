#include "app/traffic_metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace snipemill {

namespace {

prometheus::Histogram::BucketBoundaries latency_buckets()
{
    // Seconds; 0.062 is the bound for 99 in 100 answers at the target size.
    return {0.001, 0.002, 0.004, 0.008, 0.016, 0.031, 0.062,
            0.125, 0.25,  0.5,   1,     2,     5};
}

prometheus::Histogram::BucketBoundaries coverage_buckets()
{
    return {0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 0.999999};
}

} // namespace

class traffic_metrics::impl
{
public:
    impl()
        : latency_(prometheus::BuildHistogram()
                       .Name("snipemill_query_seconds")
                       .Help("Time from a query's arrival to its answer")
                       .Register(registry_)
                       .Add({}, latency_buckets())),
          coverage_(prometheus::BuildHistogram()
                        .Name("snipemill_query_coverage")
                        .Help("Coverage of answers, as a fraction")
                        .Register(registry_)
                        .Add({}, coverage_buckets())),
          unclaimed_(prometheus::BuildCounter()
                         .Name("snipemill_query_coverage_unknown_total")
                         .Help("Answers without a statement of coverage")
                         .Register(registry_)
                         .Add({})),
          refusals_(prometheus::BuildCounter()
                        .Name("snipemill_refusals_total")
                        .Help("Failures reported to callers, by code")
                        .Register(registry_))
    {}

    prometheus::Registry registry_;
    prometheus::Histogram& latency_;
    prometheus::Histogram& coverage_;
    prometheus::Counter& unclaimed_;
    prometheus::Family<prometheus::Counter>& refusals_;
};

traffic_metrics::traffic_metrics() : impl_(std::make_unique<impl>()) {}
traffic_metrics::~traffic_metrics() = default;

void traffic_metrics::answered(query_answer const& answer, duration took)
{
    impl_->latency_.Observe(to_ms(took) / 1000.0);
    if (answer.coverage.fraction) {
        impl_->coverage_.Observe(*answer.coverage.fraction);
    }
    else {
        impl_->unclaimed_.Increment();
    }
}

void traffic_metrics::refused(errc code)
{
    impl_->refusals_.Add({{"code", std::string(to_string(code))}}).Increment();
}

std::vector<prometheus::MetricFamily> traffic_metrics::collect() const
{
    return impl_->registry_.Collect();
}

} // namespace snipemill
