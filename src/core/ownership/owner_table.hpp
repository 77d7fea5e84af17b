#pragma once

#include "core/base/strong_id.hpp"
#include "core/config/topology.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipemill {

// A host that may own upstreams of its data centre.
struct live_host
{
    host_id id;
    std::string data_centre;
    std::string ip; // address of the peer port
    std::uint16_t peer_port = 0;

    friend bool operator==(live_host const&, live_host const&) = default;
};

// Position in the host list of one owner table.
using host_index = std::uint32_t;

struct upstream_owners
{
    std::optional<host_index> first;
    std::optional<host_index> second; // takes over when the first is lost

    friend bool operator==(upstream_owners const&,
                           upstream_owners const&) = default;
};

// Owners of every upstream of one topology, chosen by rendezvous hashing
// among the live hosts of the upstream's data centre. Every host computes the
// same table from the same topology and host list.
class owner_table
{
public:
    static std::shared_ptr<owner_table const>
    compute(topology const& view, std::vector<live_host> hosts);

    std::vector<live_host> const& hosts() const { return hosts_; }

    // Owners of the upstream at this position of the topology.
    upstream_owners const& owners(topology_index upstream) const
    {
        return owners_[upstream];
    }

private:
    std::vector<live_host> hosts_; // ascending by id
    std::vector<upstream_owners> owners_;
};

// All that traffic threads need for routing; immutable and shared.
struct routing_view
{
    std::uint64_t sequence = 0; // grows with every published view
    host_id self;
    std::shared_ptr<topology const> config;
    std::shared_ptr<owner_table const> owners;
};

} // namespace snipemill
