#include "core/query/known_prints.hpp"

#include <cassert>

namespace snipemill {

known_prints::known_prints(std::size_t capacity) : capacity_(capacity)
{
    assert(capacity > 0);
}

bool known_prints::contains(fingerprint print) const
{
    return set_.contains(print);
}

void known_prints::insert(fingerprint print)
{
    if (!set_.insert(print).second) {
        return;
    }
    if (ring_.size() < capacity_) {
        ring_.push_back(print);
        return;
    }
    set_.erase(ring_[oldest_]);
    ring_[oldest_] = print;
    oldest_ = (oldest_ + 1) % capacity_;
}

} // namespace snipemill
