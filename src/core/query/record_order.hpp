#pragma once

#include "core/query/messages.hpp"

namespace snipemill {

// Order of records in an answer, for upstreams, owners and roots alike: by
// rank in the given order, then by key and partition, both ascending in either
// order. An owner cuts its records in this order, so the root needs the same
// one to find the first records of all.
bool ordered_before(record const& a, record const& b, sort_order order);

} // namespace snipemill
