#include "core/query/coverage_counter.hpp"

#include <algorithm>
#include <cassert>

namespace snipemill {

void coverage_counter::reset(std::uint32_t partition_count)
{
    count_ = partition_count;
    merged_ = 0;
    end_ = 0;
    total_ = 0;
    contradictory_ = partition_count > max_partitions;
    seen_.assign(contradictory_ ? 0 : partition_count, false);
}

bool coverage_counter::well_formed(target_result const& result) const
{
    if (result.partition_count > max_partitions) {
        return false;
    }
    auto const end =
        result.partition_count == 0 ? max_partitions : result.partition_count;
    auto const& parts = result.partitions;
    return std::all_of(parts.begin(), parts.end(),
                       [&](auto const& part) { return part.id.value < end; });
}

void coverage_counter::add(target_result const& result)
{
    assert(well_formed(result));
    note_count(result.partition_count);
    for (auto const& part : result.partitions) {
        auto const id = part.id.value;
        if (id >= seen_.size()) {
            seen_.resize(id + std::size_t{1}, false);
        }
        if (seen_[id]) {
            continue;
        }
        seen_[id] = true;
        end_ = std::max(end_, id + 1);
        ++merged_;
        total_ += part.matches;
    }
    check_range();
}

void coverage_counter::note_count(std::uint32_t count)
{
    if (count == 0) {
        return;
    }
    if (count_ == 0) {
        count_ = count;
    }
    if (count_ != count) {
        contradictory_ = true;
    }
    check_range();
}

void coverage_counter::check_range()
{
    if (count_ != 0 && end_ > count_) {
        contradictory_ = true;
    }
}

std::optional<double> coverage_counter::fraction() const
{
    if (count_ == 0 || contradictory_) {
        return std::nullopt;
    }
    return static_cast<double>(merged_) / count_;
}

std::vector<partition_id> coverage_counter::missing() const
{
    std::vector<partition_id> out;
    if (!fraction()) {
        return out;
    }
    for (std::uint32_t i = 0; i < count_; ++i) {
        if (!covered(partition_id(i))) {
            out.emplace_back(i);
        }
    }
    return out;
}

} // namespace snipemill
