#pragma once

#include "core/base/time.hpp"

namespace snipemill {

// Usual number of requests for each slot at the upstreams of a service, of
// hosts other than this one. It stands in for reports that are too old: an
// upstream is then taken to be neither idle nor busier than the others.
class usual_load
{
public:
    // A report of any upstream of the service.
    void add(double others, double slots, time_point now);
    double per_slot(time_point now) const;

private:
    // Mean of the reports less the value without reports.
    double mean_ = 0;
    time_point at_{};
};

} // namespace snipemill
