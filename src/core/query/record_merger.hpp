#pragma once

#include "core/query/messages.hpp"
#include "core/query/record_order.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snipemill {

// Merges records of many parts to the first ones in order, each key once. The
// result does not depend on the order in which records arrive.
class record_merger
{
public:
    // Starts anew, for at most limit records.
    void reset(sort_order order, std::size_t limit);

    void add(record&& r);

    std::size_t size() const { return sorted_.size(); }

    // Records of the same key from two partitions.
    std::uint64_t duplicates() const { return duplicates_; }

    // Moves the records from offset on out and starts anew.
    std::vector<record> take(std::size_t offset);

private:
    using pool_index = std::uint32_t;
    using position = std::vector<pool_index>::iterator;

    bool known_key(record const& r);
    position find_place(record const& r);
    void insert(record&& r);
    void erase(position it);

    sort_order order_ = sort_order::ascending;
    std::size_t limit_ = 0;
    std::uint64_t duplicates_ = 0;
    std::deque<record> pool_; // records stay in place, by_key_ refers to them
    std::vector<pool_index> free_;
    std::vector<pool_index> sorted_;
    std::unordered_map<std::string_view, pool_index> by_key_;
};

} // namespace snipemill
