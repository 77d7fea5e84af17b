#include "core/base/recent_ids.hpp"

#include "core/base/hash.hpp"

#include <algorithm>

namespace snipemill {

namespace {

constexpr std::size_t min_expiry_size = 8;

} // namespace

// Drops expired entries only when their number may have doubled, so that an
// insertion takes constant time on average.
void recent_ids::add(std::string_view id, clock_time until, clock_time now)
{
    if (until <= now) {
        return;
    }
    if (entries_.size() >= next_expiry_size_) {
        std::erase_if(entries_,
                      [now](entry const& it) { return it.until <= now; });
        next_expiry_size_ = std::max(min_expiry_size, 2 * entries_.size());
    }
    entries_.push_back({.hash = hash_bytes(id), .until = until});
}

bool recent_ids::contains(std::string_view id) const
{
    auto const hash = hash_bytes(id);
    return std::any_of(entries_.begin(), entries_.end(),
                       [hash](entry const& it) { return it.hash == hash; });
}

} // namespace snipemill
