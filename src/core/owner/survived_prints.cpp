#include "core/owner/survived_prints.hpp"

#include <algorithm>

namespace snipemill {

void survived_prints::on_answer(fingerprint print, index_version version,
                                time_point started)
{
    if (lost_at_ && started > *lost_at_) {
        entries_.clear();
        next_ = 0;
        lost_at_.reset();
    }
    entry const it{.print = print, .version = version};
    if (find(it)) {
        return;
    }
    if (entries_.size() < max_entries) {
        entries_.push_back(it);
        return;
    }
    entries_[next_] = it;
    next_ = (next_ + 1) % max_entries;
}

// Entries stay for the other requests that the same loss has cut off; their
// connections report it one after the other.
void survived_prints::on_lost(time_point now)
{
    if (!lost_at_) {
        lost_at_ = now;
    }
}

bool survived_prints::contains(fingerprint print, index_version version,
                               time_point started) const
{
    auto const lost_before = lost_at_ && started > *lost_at_;
    return !lost_before && find({.print = print, .version = version});
}

bool survived_prints::find(entry const& wanted) const
{
    return std::find(entries_.begin(), entries_.end(), wanted) !=
           entries_.end();
}

} // namespace snipemill
