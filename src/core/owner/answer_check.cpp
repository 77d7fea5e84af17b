#include "core/owner/answer_check.hpp"

#include "core/query/record_order.hpp"

#include <algorithm>

namespace snipemill {

namespace {

bool by_id(partition_part const& a, partition_part const& b)
{
    return a.id < b.id;
}

// Sorts the partitions; false when one is out of range or listed twice.
bool partitions_valid(sub_answer& answer)
{
    auto& parts = answer.partitions;
    if (!std::is_sorted(parts.begin(), parts.end(), by_id)) {
        std::sort(parts.begin(), parts.end(), by_id);
    }
    auto const same = [](auto const& a, auto const& b) { return a.id == b.id; };
    if (std::adjacent_find(parts.begin(), parts.end(), same) != parts.end()) {
        return false;
    }
    return parts.empty() || answer.partition_count == 0 ||
           parts.back().id.value < answer.partition_count;
}

bool records_covered(sub_answer const& answer)
{
    auto const& parts = answer.partitions;
    auto const covered = [&](record const& r) {
        return std::binary_search(parts.begin(), parts.end(),
                                  partition_part{.id = r.partition}, by_id);
    };
    return std::all_of(answer.records.begin(), answer.records.end(), covered);
}

} // namespace

sub_outcome check_answer(sub_answer& answer, index_version pinned,
                         sort_order order, std::uint32_t limit)
{
    if (answer.version != pinned) {
        return sub_outcome::wrong_version;
    }
    if (!partitions_valid(answer) || !records_covered(answer)) {
        return sub_outcome::malformed;
    }
    auto const before = [order](record const& a, record const& b) {
        return ordered_before(a, b, order);
    };
    auto& records = answer.records;
    if (!std::is_sorted(records.begin(), records.end(), before)) {
        std::sort(records.begin(), records.end(), before);
    }
    if (records.size() > limit) {
        records.resize(limit);
    }
    return sub_outcome::merged;
}

} // namespace snipemill
