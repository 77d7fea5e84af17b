#pragma once

#include "core/query/attempt_table.hpp"
#include "core/query/coverage_counter.hpp"
#include "core/query/query_shared.hpp"

namespace snipemill {

// Checks a part before anything of it is merged. A part with one malformed
// element is dropped whole: its records were cut at a limit together, so the
// remaining ones may not be the first ones of their partitions.
class part_check
{
public:
    static bool well_formed(query_shared& shared, attempt_table& table,
                            sent_batch const& batch,
                            coverage_counter const& counter,
                            query_part const& part);
};

} // namespace snipemill
