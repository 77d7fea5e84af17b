#include "core/events/event_ring.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace snipemill {

event_ring::event_ring(std::size_t capacity) : capacity_(capacity)
{
    assert(capacity > 0);
    events_.reserve(capacity);
}

void event_ring::push(event e)
{
    e.sequence = next_sequence_++;
    if (events_.size() < capacity_) {
        events_.push_back(std::move(e));
        return;
    }
    auto const slot = (e.sequence - 1) % capacity_;
    events_[slot] = std::move(e);
}

std::vector<event> event_ring::after(std::uint64_t sequence) const
{
    auto const oldest = next_sequence_ - events_.size();
    std::vector<event> found;
    if (sequence >= last_sequence()) {
        return found;
    }
    for (auto i = std::max(oldest, sequence + 1); i < next_sequence_; ++i) {
        found.push_back(events_[(i - 1) % capacity_]);
    }
    return found;
}

} // namespace snipemill
