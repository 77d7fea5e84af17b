#pragma once

#include "core/config/topology.hpp"
#include "core/query/messages.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipemill {

// Reports of an upstream's condition and latency older than this are not used
// for choosing replicas, so that a replica that was cold, slow or leaving is
// tried again.
inline constexpr duration condition_expiry = from_ms(1000);

// A version that an upstream holds.
struct held_partitions
{
    index_version version;
    bool known = false; // whether partitions have been reported
    std::vector<partition_id> partitions; // ascending
};

// What the root last heard about one upstream.
struct upstream_knowledge
{
    std::vector<held_partitions> held; // ascending by version
    bool described = false;            // anything was ever heard of held
    upstream_condition condition = upstream_condition::unknown;
    duration latency{}; // moving average of recent answers, 0: none
    time_point heard{}; // time of the last report
    time_point timed{}; // time of the last latency

    held_partitions const* find(index_version version) const;
    upstream_condition condition_at(time_point now) const;
    duration latency_at(time_point now) const;
};

// What is known of one version of a group.
struct version_map
{
    index_version version;
    std::uint32_t partition_count = 0; // 0: unknown
    bool contradictory = false;        // upstreams disagree on the count

    // Partition count on which a claim can be based, else 0.
    std::uint32_t usable_count() const
    {
        return contradictory ? 0 : partition_count;
    }
};

// Versions and partitions of every upstream, learned from what owners report.
// Positions are those of the topology that was adopted last.
class index_catalogue
{
public:
    // Keeps what is known of the upstreams and groups that remain.
    void adopt(topology const& config);

    void on_result(time_point now, topology_index upstream,
                   index_version pinned, target_result const& result);
    void on_description(time_point now, topology_index upstream,
                        upstream_description const& description);

    upstream_knowledge const& upstream(topology_index u) const
    {
        return upstreams_[u];
    }
    version_map find_map(topology_index group, index_version version) const;

    // Changes whenever holdings or partition counts change.
    std::uint64_t revision() const { return revision_; }

private:
    using version_maps = std::vector<version_map>; // ascending by version

    void set_versions(upstream_knowledge& it,
                      std::vector<index_version> const& held);
    held_partitions& hold(upstream_knowledge& it, index_version version);
    void drop(upstream_knowledge& it, index_version version);
    void set_partitions(held_partitions& it,
                        std::vector<partition_part> const& parts);
    void note_count(topology_index group, index_version version,
                    std::uint32_t count);
    void note_latency(upstream_knowledge& it, time_point now, duration latency);

    std::vector<upstream_knowledge> upstreams_; // by topology position
    std::vector<upstream_id> ids_;
    std::vector<topology_index> group_of_; // by upstream position
    std::vector<std::string> group_names_;
    std::vector<version_maps> maps_; // by group position
    std::vector<partition_id> scratch_;
    std::uint64_t revision_ = 1;
};

} // namespace snipemill
