#include "core/owner/run_merger.hpp"

#include "core/base/hash.hpp"
#include "core/query/record_order.hpp"

#include <algorithm>
#include <bit>

namespace snipemill {

std::vector<record> run_merger::merge(std::vector<std::vector<record>>& runs,
                                      sort_order order, std::size_t limit)
{
    open(runs);
    std::size_t available = 0;
    for (auto const& it : heap_) {
        available += static_cast<std::size_t>(it.end - it.next);
    }
    auto const wanted = std::min(limit, available);
    std::vector<record> merged;
    merged.reserve(wanted);
    reset_keys(wanted);

    // The heap has the cursor with the first record at its front.
    auto const later = [order](cursor const& a, cursor const& b) {
        return ordered_before(*b.next, *a.next, order);
    };
    std::make_heap(heap_.begin(), heap_.end(), later);
    while (merged.size() < wanted && !heap_.empty()) {
        std::pop_heap(heap_.begin(), heap_.end(), later);
        auto& it = heap_.back();
        if (is_new(it.next->key, merged)) {
            merged.push_back(std::move(*it.next));
        }
        if (++it.next == it.end) {
            heap_.pop_back();
            continue;
        }
        std::push_heap(heap_.begin(), heap_.end(), later);
    }
    return merged;
}

void run_merger::open(std::vector<std::vector<record>>& runs)
{
    heap_.clear();
    for (auto& run : runs) {
        if (!run.empty()) {
            heap_.push_back({run.data(), run.data() + run.size()});
        }
    }
}

void run_merger::reset_keys(std::size_t n)
{
    keys_.assign(std::bit_ceil(2 * n + 1), 0);
}

// Enters a new key for the record that is merged next.
bool run_merger::is_new(std::string const& key,
                        std::vector<record> const& merged)
{
    auto const mask = keys_.size() - 1;
    auto place = hash_bytes(key) & mask;
    while (keys_[place] != 0) {
        if (merged[keys_[place] - 1].key == key) {
            return false;
        }
        place = (place + 1) & mask;
    }
    keys_[place] = static_cast<std::uint32_t>(merged.size() + 1);
    return true;
}

} // namespace snipemill
