#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace snipemill {

// Counters and latency histograms of a forwarding host. Thread-safe.
class forward_metrics
{
public:
    forward_metrics();
    forward_metrics(forward_metrics const&) = delete;
    forward_metrics& operator=(forward_metrics const&) = delete;

    void request_ended(std::string const& route, unsigned status,
                       double seconds);
    // By account, up to a number of accounts; others count as "other".
    void capped_request(std::string const& account, std::string_view outcome);
    void set_counter(std::string const& name, std::uint64_t value);
    void set_gauge(std::string const& name, double value);

    // All metrics in the Prometheus text format.
    std::string text() const;

private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Histogram>& latency_;
    prometheus::Family<prometheus::Counter>& capped_;
    std::mutex mutex_;
    std::set<std::string> accounts_; // with metrics of their own
};

} // namespace snipemill
