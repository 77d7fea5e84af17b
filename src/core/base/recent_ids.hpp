#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace snipemill {

// Remembers each id until a time of its own. Two ids with the same hash count
// as one.
class recent_ids
{
public:
    using clock_time = std::chrono::steady_clock::time_point;

    // Does nothing when the time has passed.
    void add(std::string_view id, clock_time until, clock_time now);
    bool contains(std::string_view id) const;
    std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        std::uint64_t hash = 0;
        clock_time until{};
    };

    std::vector<entry> entries_;
    std::size_t next_expiry_size_ = 0; // size at which entries are dropped next
};

} // namespace snipemill
