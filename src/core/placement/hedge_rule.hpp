#pragma once

#include "core/placement/expected_finish.hpp"

namespace snipemill {

// Delay of the hedge of an attempt: until then its answer is usual.
duration hedge_delay(finish_prediction const& attempt);

// Time in ms in which an open attempt is expected to end, `elapsed` after it
// was sent.
double remaining_ms(finish_prediction const& attempt, duration elapsed);

// Latest expected finish in ms of a hedge that is worth its work: the caller
// gains more than a part of the work that the hedge adds. Not positive when no
// hedge is worth it.
double latest_worthwhile_finish(finish_prediction const& attempt,
                                duration elapsed);

} // namespace snipemill
