#include "core/query/part_check.hpp"

#include <algorithm>
#include <cmath>

namespace snipemill {

namespace {

void list_partitions(query_shared& shared, target_result const& result)
{
    for (auto const& it : result.partitions) {
        if (it.id.value >= shared.listed.size()) {
            shared.listed.resize(it.id.value + std::size_t{1}, 0);
        }
        shared.listed[it.id.value] = shared.listed_stamp;
    }
}

bool listed(query_shared const& shared, partition_id p)
{
    return p.value < shared.listed.size() &&
           shared.listed[p.value] == shared.listed_stamp;
}

void start_list(query_shared& shared)
{
    ++shared.listed_stamp;
    if (shared.listed_stamp == 0) {
        std::fill(shared.listed.begin(), shared.listed.end(), 0);
        shared.listed_stamp = 1;
    }
}

} // namespace

bool part_check::well_formed(query_shared& shared, attempt_table& table,
                             sent_batch const& batch,
                             coverage_counter const& counter,
                             query_part const& part)
{
    start_list(shared);
    for (auto const& result : part.results) {
        if (table.find(batch, result.upstream) == nullptr) {
            return false;
        }
        if (result.outcome != sub_outcome::merged) {
            continue;
        }
        if (!counter.well_formed(result)) {
            return false;
        }
        list_partitions(shared, result);
    }
    return std::all_of(
        part.records.begin(), part.records.end(), [&](record const& r) {
            return std::isfinite(r.rank) && listed(shared, r.partition);
        });
}

} // namespace snipemill
