#pragma once

#include "core/base/time.hpp"

namespace snipemill {

// What a bad version may get while its service is rolled out.
struct rollout_bounds
{
    // Of all requests to the service, between the order and its time limit.
    double canary_share = 0.1;
    double canary_slack = 50; // requests besides the share
    // Time after the 50th bad answer from which the version gets none.
    duration roll_back_within = from_ms(5000);

    friend bool operator==(rollout_bounds const&,
                           rollout_bounds const&) = default;
};

} // namespace snipemill
