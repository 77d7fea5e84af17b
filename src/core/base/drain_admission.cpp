#include "core/base/drain_admission.hpp"

namespace snipemill {

// Callers that the load balancer still sends here may have one more try only,
// so an idempotent request of theirs is started although it may not end in
// time: most requests need a fraction of their time-out. A request that may run
// at most once has to end in time, because its caller cannot repeat it.
bool drain_admission::admits(idempotency kind, time_point now,
                             time_point end) const
{
    if (!times_ || end <= times_->answer_by) {
        return true;
    }
    return kind == idempotency::idempotent && now < times_->accept_until;
}

} // namespace snipemill
