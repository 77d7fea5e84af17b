#include "core/ownership/owner_table.hpp"

#include "core/base/hash.hpp"

#include <tbb/parallel_for.h>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <unordered_map>

namespace snipemill {

namespace {

// Hosts of one data centre, as positions in the table's host list.
using host_list = std::vector<host_index>;

struct ranked_host
{
    std::uint64_t score = 0;
    host_index host = 0;
};

// The first hosts by falling rendezvous score for one upstream, at most n.
void rank_hosts(std::vector<std::uint64_t> const& host_hashes,
                host_list const& hosts, upstream_id upstream, std::size_t n,
                std::vector<ranked_host>& out)
{
    out.clear();
    for (auto const h : hosts) {
        out.push_back({hash_combine(host_hashes[h], upstream.value), h});
    }
    auto const by_score = [](ranked_host const& a, ranked_host const& b) {
        return a.score != b.score ? a.score > b.score : a.host < b.host;
    };
    auto const kept = std::min(n, out.size());
    auto const middle =
        std::next(out.begin(), static_cast<std::ptrdiff_t>(kept));
    std::partial_sort(out.begin(), middle, out.end(), by_score);
    out.resize(kept);
}

// The first host in rank order that is not yet taken, else the first one.
std::optional<host_index> pick(std::vector<ranked_host> const& ranked,
                               std::vector<host_index> const& taken)
{
    for (auto const& it : ranked) {
        if (std::find(taken.begin(), taken.end(), it.host) == taken.end()) {
            return it.host;
        }
    }
    if (ranked.empty()) {
        return std::nullopt;
    }
    return ranked.front().host;
}

// The host that pick() would give if the first were gone. The owners of the
// replicas before this one do not depend on that host.
std::optional<host_index> pick_second(std::vector<ranked_host> const& ranked,
                                      host_index first,
                                      std::vector<host_index> const& taken)
{
    std::optional<host_index> fallback;
    for (auto const& it : ranked) {
        if (it.host == first) {
            continue;
        }
        if (std::find(taken.begin(), taken.end(), it.host) == taken.end()) {
            return it.host;
        }
        if (!fallback) {
            fallback = it.host;
        }
    }
    return fallback;
}

} // namespace

std::shared_ptr<owner_table const>
owner_table::compute(topology const& view, std::vector<live_host> hosts)
{
    auto table = std::make_shared<owner_table>();
    std::sort(
        hosts.begin(), hosts.end(),
        [](live_host const& a, live_host const& b) { return a.id < b.id; });
    table->hosts_ = std::move(hosts);
    table->owners_.resize(view.upstreams().size());

    std::vector<std::uint64_t> hashes;
    std::unordered_map<std::string, host_list> by_data_centre;
    for (host_index i = 0; i < table->hosts_.size(); ++i) {
        hashes.push_back(hash_bytes(table->hosts_[i].id.value));
        by_data_centre[table->hosts_[i].data_centre].push_back(i);
    }

    auto const assign = [&](topology_service const& service) {
        std::vector<ranked_host> ranked;
        std::vector<host_index> taken;
        for (auto const index : service.upstreams) {
            auto const& upstream = view.upstreams()[index];
            auto const hosts_here =
                by_data_centre.find(upstream.object.data_centre);
            if (hosts_here == by_data_centre.end()) {
                continue;
            }
            // Every taken host and the first owner may have to be passed over
            // before the second owner is found.
            rank_hosts(hashes, hosts_here->second, upstream.object.id,
                       taken.size() + 2, ranked);
            auto const first = pick(ranked, taken);
            table->owners_[index] = {first, pick_second(ranked, *first, taken)};
            taken.push_back(*first);
        }
    };
    tbb::parallel_for(std::size_t{0}, view.services().size(),
                      [&](std::size_t i) { assign(view.services()[i]); });
    return table;
}

} // namespace snipemill
