#pragma once

#include "core/owner/owner_engine.hpp"

namespace snipemill {

// Whether an upstream's answer may be merged: the pinned version, and every
// record from a partition that the answer covers. Sorts its partitions and
// records. Returns merged, wrong_version or malformed.
sub_outcome check_answer(sub_answer& answer, index_version pinned,
                         sort_order order, std::uint32_t limit);

} // namespace snipemill
