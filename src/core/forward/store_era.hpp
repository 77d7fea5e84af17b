#pragma once

#include <cstdint>
#include <optional>

namespace snipemill {

enum class era_order : std::uint8_t
{
    first, // no answer has come before
    same,
    newer, // the store has been restored from an older copy
    older  // the answer is late or comes from a copy that lags
};

// Era of the store as its answers have shown it. The store's era rises by one
// each time it comes back from an older copy; revisions and entries of
// different eras cannot be compared.
class store_era
{
public:
    // An answer of the store has this era.
    era_order see(std::uint64_t era)
    {
        if (!era_) {
            era_ = era;
            return era_order::first;
        }
        if (*era_ == era) {
            return era_order::same;
        }
        if (era < *era_) {
            ++older_answers_;
            return era_order::older;
        }
        era_ = era;
        ++changes_;
        return era_order::newer;
    }
    // Whether another host names an era that this host has not seen, and not
    // the one that was named last: a datagram may be false and come again, and
    // only the store's answer counts.
    bool hear(std::uint64_t era)
    {
        if (era <= value() || era == heard_) {
            return false;
        }
        heard_ = era;
        return true;
    }

    std::uint64_t value() const { return era_.value_or(0); }
    std::uint64_t changes() const { return changes_; }
    std::uint64_t older_answers() const { return older_answers_; }

private:
    std::optional<std::uint64_t> era_; // none before the first answer
    std::uint64_t heard_ = 0;          // from other hosts, last
    std::uint64_t changes_ = 0;
    std::uint64_t older_answers_ = 0;
};

} // namespace snipemill
