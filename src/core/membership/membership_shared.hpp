#pragma once

#include "core/base/rng.hpp"
#include "core/membership/member_table.hpp"
#include "core/membership/update_queue.hpp"

#include <cstdint>
#include <utility>

namespace snipemill {

// State of one member list that its parts share.
struct membership_shared
{
    membership_shared(member_list_settings const& values, member_info host,
                      std::uint64_t seed)
        : settings(values), self(std::move(host)), random(seed),
          members(values, self.data_centre)
    {}

    member_list_settings settings;
    member_info self;
    rng random;
    member_table members;
    update_queue updates; // to be passed on
    member_counters counters;
    std::uint64_t config_number = 0;
    std::uint64_t next_sequence = 1; // of this host's probes
};

} // namespace snipemill
