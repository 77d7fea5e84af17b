#pragma once

#include "core/base/idempotency.hpp"
#include "core/base/time.hpp"

#include <optional>

namespace snipemill {

// Times of a planned stop.
struct drain_times
{
    // Until then load balancers may send callers to this host.
    time_point accept_until{};
    // Requests that are open at this time are answered as failed.
    time_point answer_by{};
};

// Decides which requests a host still starts during a planned stop. Load
// pattern: callers that go on sending on open connections until the process has
// ended, with requests that may take longer than what is left of the stop.
class drain_admission
{
public:
    void begin(drain_times const& times) { times_ = times; }

    // Whether a request that may take until `end` is started. A refusal is a
    // certain "not run", and the caller can go to another host at once.
    bool admits(idempotency kind, time_point now, time_point end) const;

private:
    std::optional<drain_times> times_; // set during a planned stop
};

} // namespace snipemill
