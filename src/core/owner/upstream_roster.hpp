#pragma once

#include "core/owner/owned_upstream.hpp"

#include <cstddef>
#include <memory>
#include <vector>

namespace snipemill {

// The upstreams of one lane, ascending by id. An upstream keeps its address
// while it is in the roster.
class upstream_roster
{
public:
    owned_upstream* find(upstream_id id);
    owned_upstream& add(std::unique_ptr<owned_upstream> upstream);
    void remove(upstream_id id);

    std::size_t size() const { return entries_.size(); }
    owned_upstream& at(std::size_t i) { return *entries_[i].upstream; }
    owned_upstream const& at(std::size_t i) const
    {
        return *entries_[i].upstream;
    }

private:
    struct entry
    {
        upstream_id id;
        std::unique_ptr<owned_upstream> upstream;
    };

    std::vector<entry>::iterator lower_bound(upstream_id id);

    std::vector<entry> entries_;
};

} // namespace snipemill
