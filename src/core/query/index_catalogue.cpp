#include "core/query/index_catalogue.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

namespace {

// Bounds on what reports can make the catalogue remember. An index keeps a
// few versions while it migrates; older ones are forgotten first.
constexpr std::size_t max_versions_per_upstream = 8;
constexpr std::size_t max_versions_per_group = 32;

// Weight of a new sample in the moving average of the latency.
constexpr int latency_weight = 8;

template <class Range>
auto lower_version(Range& range, index_version version)
{
    return std::lower_bound(
        range.begin(), range.end(), version,
        [](auto const& it, index_version v) { return it.version < v; });
}

} // namespace

held_partitions const* upstream_knowledge::find(index_version version) const
{
    auto const it = lower_version(held, version);
    return it != held.end() && it->version == version ? &*it : nullptr;
}

upstream_condition upstream_knowledge::condition_at(time_point now) const
{
    return now - heard > condition_expiry ? upstream_condition::unknown
                                          : condition;
}

duration upstream_knowledge::latency_at(time_point now) const
{
    return now - timed > condition_expiry ? duration{} : latency;
}

void index_catalogue::adopt(topology const& config)
{
    std::unordered_map<upstream_id, upstream_knowledge> known;
    for (std::size_t i = 0; i < ids_.size(); ++i) {
        known.emplace(ids_[i], std::move(upstreams_[i]));
    }
    std::unordered_map<std::string, version_maps> maps;
    for (std::size_t i = 0; i < group_names_.size(); ++i) {
        maps.emplace(group_names_[i], std::move(maps_[i]));
    }
    upstreams_.clear();
    ids_.clear();
    group_of_.clear();
    group_names_.clear();
    maps_.clear();
    for (auto const& u : config.upstreams()) {
        ids_.push_back(u.object.id);
        group_of_.push_back(config.services()[u.service].group);
        upstreams_.push_back(std::move(known[u.object.id]));
    }
    for (auto const& group : config.groups()) {
        group_names_.push_back(group.object.name);
        maps_.push_back(std::move(maps[group.object.name]));
    }
    ++revision_;
}

void index_catalogue::on_result(time_point now, topology_index upstream,
                                index_version pinned,
                                target_result const& result)
{
    auto& it = upstreams_[upstream];
    it.heard = now;
    if (result.condition != upstream_condition::unknown) {
        it.condition = result.condition;
    }
    if (!result.held.empty()) {
        set_versions(it, result.held);
    }
    if (result.outcome == sub_outcome::version_gone) {
        it.described = true;
        drop(it, pinned);
    }
    if (result.outcome == sub_outcome::merged) {
        it.described = true;
        set_partitions(hold(it, pinned), result.partitions);
        note_count(group_of_[upstream], pinned, result.partition_count);
        note_latency(it, now, result.latency);
    }
}

void index_catalogue::on_description(time_point now, topology_index upstream,
                                     upstream_description const& description)
{
    auto& it = upstreams_[upstream];
    it.heard = now;
    it.condition = description.condition;
    // An owner that knows nothing yet is no evidence that nothing is held.
    if (description.held.empty()) {
        return;
    }
    std::vector<index_version> versions;
    for (auto const& held : description.held) {
        versions.push_back(held.version);
    }
    set_versions(it, versions);
    for (auto const& held : description.held) {
        // Without a partition count only the version itself is known.
        if (held.partition_count > 0 && it.find(held.version) != nullptr) {
            set_partitions(hold(it, held.version), held.partitions);
        }
        note_count(group_of_[upstream], held.version, held.partition_count);
    }
}

version_map index_catalogue::find_map(topology_index group,
                                      index_version version) const
{
    auto const& maps = maps_[group];
    auto const it = lower_version(maps, version);
    if (it == maps.end() || it->version != version) {
        return {.version = version};
    }
    return *it;
}

void index_catalogue::set_versions(upstream_knowledge& it,
                                   std::vector<index_version> const& held)
{
    it.described = true;
    auto const same =
        std::equal(it.held.begin(), it.held.end(), held.begin(), held.end(),
                   [](held_partitions const& a, index_version b) {
                       return a.version == b;
                   });
    if (same) {
        return;
    }
    std::erase_if(it.held, [&](held_partitions const& old) {
        auto const kept = std::find(held.begin(), held.end(), old.version);
        auto const gone = kept == held.end();
        revision_ += gone ? 1 : 0;
        return gone;
    });
    for (auto const version : held) {
        hold(it, version);
    }
    while (it.held.size() > max_versions_per_upstream) {
        it.held.erase(it.held.begin());
    }
}

held_partitions& index_catalogue::hold(upstream_knowledge& it,
                                       index_version version)
{
    auto const at = lower_version(it.held, version);
    if (at != it.held.end() && at->version == version) {
        return *at;
    }
    ++revision_;
    return *it.held.insert(at, {.version = version});
}

void index_catalogue::drop(upstream_knowledge& it, index_version version)
{
    auto const removed = std::erase_if(it.held, [&](held_partitions const& h) {
        return h.version == version;
    });
    revision_ += removed;
}

void index_catalogue::set_partitions(held_partitions& it,
                                     std::vector<partition_part> const& parts)
{
    scratch_.clear();
    for (auto const& part : parts) {
        scratch_.push_back(part.id);
    }
    if (!std::is_sorted(scratch_.begin(), scratch_.end())) {
        std::sort(scratch_.begin(), scratch_.end());
    }
    if (it.known && it.partitions == scratch_) {
        return;
    }
    it.known = true;
    it.partitions = scratch_;
    ++revision_;
}

void index_catalogue::note_count(topology_index group, index_version version,
                                 std::uint32_t count)
{
    if (count == 0) {
        return;
    }
    auto& maps = maps_[group];
    auto const it = lower_version(maps, version);
    if (it == maps.end() || it->version != version) {
        maps.insert(it, {.version = version, .partition_count = count});
        ++revision_;
        if (maps.size() > max_versions_per_group) {
            maps.erase(maps.begin());
        }
        return;
    }
    if (it->partition_count != count && !it->contradictory) {
        it->contradictory = true;
        ++revision_;
    }
}

void index_catalogue::note_latency(upstream_knowledge& it, time_point now,
                                   duration latency)
{
    auto const old = it.latency_at(now);
    it.timed = now;
    it.latency =
        old == duration{} ? latency : old + (latency - old) / latency_weight;
}

} // namespace snipemill
