#pragma once

#include "core/query/index_catalogue.hpp"
#include "core/query/route_table.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace snipemill {

// Chooses the version that a query of a group is answered from: the newest
// one that every service can serve from a usable replica, else the one that
// covers the largest share of its partitions, the newer one on a tie.
class snapshot_choice
{
public:
    std::optional<index_version> choose(route_table const& routes,
                                        index_catalogue const& catalogue,
                                        topology_index group);

private:
    struct candidate
    {
        index_version version;
        std::uint32_t services = 0; // that can serve it
        std::uint32_t last_service = 0;
    };

    // Share of a version as a fraction of two whole numbers.
    struct share
    {
        std::uint64_t covered = 0;
        std::uint64_t of = 1;
    };

    void collect(route_table const& routes, index_catalogue const& catalogue,
                 topology_group const& group);
    void note(index_version version, std::uint32_t service);
    share share_of(route_table const& routes, index_catalogue const& catalogue,
                   topology_index group, candidate const& c);

    std::vector<candidate> candidates_; // ascending by version
    std::vector<bool> covered_;
};

// Remembers the choice of each group until the view or the catalogue changes.
class snapshot_cache
{
public:
    std::optional<index_version> choose(route_table const& routes,
                                        index_catalogue const& catalogue,
                                        topology_index group);

private:
    struct entry
    {
        std::uint64_t revision = 0;
        std::optional<index_version> version;
    };

    snapshot_choice choice_;
    std::vector<entry> entries_; // by group position
    route_table const* routes_ = nullptr;
    std::uint64_t sequence_ = 0;
};

} // namespace snipemill
