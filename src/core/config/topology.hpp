#pragma once

#include "core/config/objects.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snipemill {

// Position of an object in the vectors of one topology. Valid only together
// with that topology.
using topology_index = std::uint32_t;

struct topology_data_centre
{
    std::string name;
    std::string region;
    bool in = true;
};

struct topology_upstream
{
    upstream_object object;
    topology_index service = 0;
    topology_index data_centre = 0;
};

struct topology_service
{
    service_object object;
    topology_index group = 0;
    std::vector<topology_index> upstreams; // ascending by upstream id
};

struct topology_group
{
    group_object object;
    std::vector<topology_index> services; // ascending by name
};

// Immutable view of the configuration of one ticket number, indexed for
// routing. Objects that refer to something unknown are left out.
class topology
{
public:
    // Builds the view from the whole state. The order of the objects does
    // not matter.
    static std::shared_ptr<topology const>
    build(std::uint64_t number,
          std::map<std::string, config_object> const& objects);

    std::uint64_t number() const { return number_; }
    std::vector<topology_data_centre> const& data_centres() const
    {
        return data_centres_;
    }
    std::vector<topology_group> const& groups() const { return groups_; }
    std::vector<topology_service> const& services() const { return services_; }
    std::vector<topology_upstream> const& upstreams() const
    {
        return upstreams_;
    }

    topology_group const* find_group(std::string_view name) const;
    topology_upstream const* find_upstream(upstream_id id) const;
    topology_data_centre const* find_data_centre(std::string_view name) const;

    // Whether new work may go to the upstream: it is active and its data
    // centre is in.
    bool usable(topology_upstream const& u) const;

private:
    std::uint64_t number_ = 0;
    std::vector<topology_data_centre> data_centres_;
    std::vector<topology_group> groups_;
    std::vector<topology_service> services_;
    std::vector<topology_upstream> upstreams_;
    std::unordered_map<std::string, topology_index> group_by_name_;
    std::unordered_map<std::string, topology_index> data_centre_by_name_;
    std::unordered_map<upstream_id, topology_index> upstream_by_id_;
};

} // namespace snipemill
