#pragma once

#include "core/config/config_spread.hpp"

#include <cstddef>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace snipemill {

// Decides when a host that started without the platform has heard from enough
// hosts of its data centre: a majority of the listed ones, itself included.
// Hosts are counted by address, since the seeds have no names.
class start_quorum
{
public:
    explicit start_quorum(member_info const& self);

    void set_seeds(std::vector<member_seed> seeds);
    // Dead members stay listed: they may only be unreachable.
    void set_members(std::vector<member_info> const& members);
    void on_answer(host_id const& from);

    bool answered(host_id const& from) const
    {
        return answered_.contains(from);
    }
    bool reached() const;

private:
    using address = std::pair<std::string, std::uint16_t>;

    address self_;
    std::string data_centre_;
    std::set<address> seeds_;
    std::vector<member_info> members_; // of this data centre
    std::set<host_id> answered_;
};

} // namespace snipemill
