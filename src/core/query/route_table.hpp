#pragma once

#include "core/ownership/owner_table.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace snipemill {

inline constexpr host_index no_host = ~host_index{0};

// Where sub-requests for one upstream go.
struct upstream_route
{
    host_index first = no_host;
    host_index second = no_host;
    bool usable = false; // new work may go there
    // first is the second owner, in place of a silent first one.
    bool by_second = false;
    bool silent = false; // no owner answers
};

// A routing view with owners as numbers, so that batching needs no string
// comparison per target. Silent owners are replaced by second owners.
class route_table
{
public:
    explicit route_table(std::shared_ptr<routing_view const> view,
                         std::set<host_id> const& silent = {});

    std::shared_ptr<routing_view const> const& view() const { return view_; }
    topology const& config() const { return *view_->config; }
    std::uint64_t sequence() const { return view_->sequence; }
    upstream_route const& route(topology_index u) const { return routes_[u]; }
    std::size_t hosts() const { return view_->owners->hosts().size(); }
    host_id const& host(host_index h) const
    {
        return view_->owners->hosts()[h].id;
    }

    // The upstream may get new work and has an owner to send it.
    bool can_serve(topology_index u) const
    {
        return routes_[u].usable && routes_[u].first != no_host;
    }

    // Data centre of this host; no value when the view does not list it.
    std::optional<topology_index> data_centre() const { return data_centre_; }
    bool data_centre_out() const;

    std::optional<topology_index> find(upstream_id id) const;
    // Looks at a probable position first, which saves the hash lookup while
    // the configuration has not changed.
    std::optional<topology_index> find(upstream_id id,
                                       topology_index probable) const;
    std::optional<topology_index> find_group(std::string_view name) const;

private:
    void avoid(std::set<host_id> const& silent);
    void find_data_centre();

    std::shared_ptr<routing_view const> view_;
    std::vector<upstream_route> routes_; // by position in the topology
    std::optional<topology_index> data_centre_;
};

} // namespace snipemill
