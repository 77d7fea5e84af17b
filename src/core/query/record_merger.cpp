#include "core/query/record_merger.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

void record_merger::reset(sort_order order, std::size_t limit)
{
    order_ = order;
    limit_ = limit;
    duplicates_ = 0;
    by_key_.clear();
    sorted_.clear();
    free_.clear();
    pool_.clear();
}

void record_merger::add(record&& r)
{
    if (limit_ == 0 || known_key(r)) {
        return;
    }
    if (sorted_.size() == limit_) {
        if (!ordered_before(r, pool_[sorted_.back()], order_)) {
            return;
        }
        erase(sorted_.end() - 1);
    }
    insert(std::move(r));
}

// Whether a record with this key is already there and goes first. A later one
// is removed, so that the caller adds the new one.
bool record_merger::known_key(record const& r)
{
    auto const it = by_key_.find(r.key);
    if (it == by_key_.end()) {
        return false;
    }
    auto const& old = pool_[it->second];
    if (old.partition != r.partition) {
        ++duplicates_;
    }
    if (!ordered_before(r, old, order_)) {
        return true;
    }
    erase(find_place(old));
    return false;
}

record_merger::position record_merger::find_place(record const& r)
{
    return std::lower_bound(sorted_.begin(), sorted_.end(), r,
                            [this](pool_index i, record const& v) {
                                return ordered_before(pool_[i], v, order_);
                            });
}

void record_merger::insert(record&& r)
{
    auto const place = find_place(r);
    pool_index index = 0;
    if (free_.empty()) {
        index = static_cast<pool_index>(pool_.size());
        pool_.push_back(std::move(r));
    }
    else {
        index = free_.back();
        free_.pop_back();
        pool_[index] = std::move(r);
    }
    sorted_.insert(place, index);
    by_key_.emplace(pool_[index].key, index);
}

void record_merger::erase(position it)
{
    auto const index = *it;
    by_key_.erase(pool_[index].key);
    free_.push_back(index);
    sorted_.erase(it);
}

std::vector<record> record_merger::take(std::size_t offset)
{
    std::vector<record> out;
    if (offset < sorted_.size()) {
        out.reserve(sorted_.size() - offset);
    }
    by_key_.clear();
    for (std::size_t i = offset; i < sorted_.size(); ++i) {
        out.push_back(std::move(pool_[sorted_[i]]));
    }
    reset(order_, limit_);
    return out;
}

} // namespace snipemill
