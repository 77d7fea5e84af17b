#pragma once

#include "core/base/strong_id.hpp"

#include <cstddef>
#include <unordered_set>
#include <vector>

namespace snipemill {

// Fingerprints of queries that an upstream has already answered. The oldest
// one is forgotten when the set is full.
class known_prints
{
public:
    explicit known_prints(std::size_t capacity);

    bool contains(fingerprint print) const;
    void insert(fingerprint print);
    std::size_t size() const { return set_.size(); }

private:
    std::size_t capacity_;
    std::size_t oldest_ = 0;
    std::vector<fingerprint> ring_; // in order of insertion
    std::unordered_set<fingerprint> set_;
};

} // namespace snipemill
