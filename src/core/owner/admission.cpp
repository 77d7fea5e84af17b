#include "core/owner/admission.hpp"

#include <algorithm>

namespace snipemill {

std::optional<sub_outcome> admission::refusal(time_point now,
                                              owned_upstream const* u,
                                              owner_batch const& batch) const
{
    auto const& request = batch.request();
    if (u == nullptr || u->role == ownership_role::none) {
        return sub_outcome::not_owner;
    }
    // The second owner serves roots that have lost the first one.
    if (u->role == ownership_role::second && !request.retry) {
        return sub_outcome::not_owner;
    }
    if (!u->limiter.open()) {
        return sub_outcome::draining;
    }
    if (quarantined(request.print)) {
        return sub_outcome::quarantined;
    }
    if (now >= batch.deadline()) {
        return sub_outcome::timed_out;
    }
    auto const idle = u->limiter.state() == limiter_state::warm &&
                      u->queue.empty() &&
                      u->limiter.may_start(now, u->in_flight);
    if (request.hedge && !idle) {
        return sub_outcome::hedge_refused;
    }
    return std::nullopt;
}

std::optional<sub_outcome>
admission::refusal(owned_upstream const* u, submit_forward const& request) const
{
    if (u == nullptr || u->role != ownership_role::first) {
        return sub_outcome::not_owner;
    }
    if (!u->limiter.open()) {
        return sub_outcome::draining;
    }
    if (quarantined(request.print)) {
        return sub_outcome::quarantined;
    }
    if (request.remaining <= duration{}) {
        return sub_outcome::timed_out;
    }
    return std::nullopt;
}

void admission::set_quarantine(std::vector<fingerprint> const& prints)
{
    prints_ = prints;
    std::sort(prints_.begin(), prints_.end());
}

bool admission::quarantined(fingerprint print) const
{
    return !prints_.empty() &&
           std::binary_search(prints_.begin(), prints_.end(), print);
}

} // namespace snipemill
