#pragma once

#include "core/query/messages.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace snipemill {

// Larger partition numbers and counts are taken for malformed reports.
inline constexpr std::uint32_t max_partitions = 1U << 20;

// Counts the partitions that were merged into one answer, and the matches in
// them. A partition that two replicas report counts once.
class coverage_counter
{
public:
    // Starts anew; partition_count is 0 when it is not known.
    void reset(std::uint32_t partition_count);

    // Whether the partitions of a merged result are well-formed.
    bool well_formed(target_result const& result) const;

    // Adds a well-formed result.
    void add(target_result const& result);

    // Learns the partition count of the version; 0 says nothing.
    void note_count(std::uint32_t count);
    // Makes the count contradictory, so that no claim is made.
    void distrust() { contradictory_ = true; }

    bool covered(partition_id p) const
    {
        return p.value < seen_.size() && seen_[p.value];
    }
    std::uint32_t merged() const { return merged_; }
    std::uint64_t total() const { return total_; }
    std::uint32_t partition_count() const { return count_; }
    bool contradictory() const { return contradictory_; }

    // No value when the partition count is unknown or contradictory.
    std::optional<double> fraction() const;
    std::vector<partition_id> missing() const; // empty without a fraction

private:
    void check_range();

    std::uint32_t count_ = 0;
    std::uint32_t merged_ = 0;
    std::uint32_t end_ = 0; // above the highest partition seen
    std::uint64_t total_ = 0;
    bool contradictory_ = false;
    std::vector<bool> seen_;
};

} // namespace snipemill
