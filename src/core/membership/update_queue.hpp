#pragma once

#include "core/base/strong_id.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace snipemill {

// Members whose latest state has to be passed on. Each is sent a number of
// times that grows with the logarithm of the fleet's size, which reaches all
// hosts with high probability.
class update_queue
{
public:
    void push(host_id const& id);
    void erase(host_id const& id);
    // Up to n members, least sent first, then newest first. Those that have
    // been sent often enough for a fleet of this size are dropped.
    std::vector<host_id> take(std::size_t n, std::size_t fleet_size);
    std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        host_id id;
        std::uint32_t sent = 0;
        std::uint64_t order = 0; // grows with every push
    };

    std::vector<entry> entries_;
    std::uint64_t next_order_ = 0;
};

} // namespace snipemill
