#pragma once

#include "core/base/error.hpp"
#include "core/query/messages.hpp"

#include <prometheus/metric_family.h>

#include <memory>
#include <string>
#include <vector>

namespace snipemill {

// Histograms of the answers that this host gave; callable from any thread.
class traffic_metrics
{
public:
    traffic_metrics();
    ~traffic_metrics();
    traffic_metrics(traffic_metrics const&) = delete;
    traffic_metrics& operator=(traffic_metrics const&) = delete;

    void answered(query_answer const& answer, duration took);
    void refused(errc code);

    std::vector<prometheus::MetricFamily> collect() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace snipemill
