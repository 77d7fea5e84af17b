#include "core/forward/relay_plan.hpp"

#include "core/base/hash.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace snipemill {

namespace {

// Tolerance for rounding errors in sums of cores.
constexpr double rounding = 1e-6;

// See shard_data_centres().
constexpr std::size_t min_shard_divisor = 4;

using host_group = std::vector<fleet_host const*>;

// Most CPU cores first; ties are broken by a hash of the name, so that a host
// that joins or leaves changes few other choices.
void sort_by_cores(host_group& hosts)
{
    std::sort(hosts.begin(), hosts.end(), [](auto const* a, auto const* b) {
        return std::tuple(-a->cores, hash_bytes(a->name), a->name) <
               std::tuple(-b->cores, hash_bytes(b->name), b->name);
    });
}

// The relays of one data centre.
host_group select_relays(host_group hosts, double min_cores,
                         relay_plan_settings const& settings)
{
    double total_cores = 0;
    for (auto const* const it : hosts) {
        total_cores += it->cores;
    }
    std::erase_if(hosts, [&](auto const* it) {
        return it->relay_port == 0 || it->cores < min_cores;
    });
    sort_by_cores(hosts);
    host_group out;
    double relay_cores = 0;
    for (auto const* const it : hosts) {
        if (out.size() >= settings.min_relays &&
            relay_cores + rounding >=
                total_cores * settings.relay_cores_ratio) {
            break;
        }
        out.push_back(it);
        relay_cores += it->cores;
    }
    return out;
}

} // namespace

std::set<std::string>
shard_data_centres(std::vector<upstream_record> const& upstreams,
                   std::set<std::string> const& single_services)
{
    std::map<std::string, std::size_t> counts;
    std::size_t most = 0;
    for (auto const& it : upstreams) {
        if (!single_services.contains(it.service)) {
            most = std::max(most, ++counts[it.data_centre]);
        }
    }
    std::set<std::string> out;
    for (auto const& [name, n] : counts) {
        if (n * min_shard_divisor >= most) {
            out.insert(name);
        }
    }
    return out;
}

relay_plan plan_relays(std::vector<fleet_host> const& hosts,
                       std::string const& own,
                       std::string const& own_data_centre,
                       std::set<std::string> const& with_shards,
                       relay_plan_settings const& settings)
{
    relay_plan out;
    if (hosts.size() <= settings.max_direct_hosts) {
        return out;
    }
    std::map<std::string, host_group> data_centres;
    double most_cores = 0;
    for (auto const& it : hosts) {
        data_centres[it.data_centre].push_back(&it);
        most_cores = std::max(most_cores, it.cores);
    }
    // Relays in fewer data centres get the cores of those that have none.
    double all_cores = 0;
    double near_cores = 0;
    for (auto const& it : hosts) {
        all_cores += it.cores;
        if (with_shards.empty() || with_shards.contains(it.data_centre)) {
            near_cores += it.cores;
        }
    }
    auto scaled = settings;
    if (near_cores > 0) {
        scaled.relay_cores_ratio *= all_cores / near_cores;
    }
    host_group remote;
    for (auto const& [name, group] : data_centres) {
        if (!with_shards.empty() && !with_shards.contains(name)) {
            continue;
        }
        for (auto const* const it : select_relays(
                 group, most_cores * settings.min_cores_ratio, scaled)) {
            ++out.relays;
            if (it->name == own) {
                out.is_relay = true;
            }
            else if (name == own_data_centre) {
                out.candidates.push_back(*it);
            }
            else {
                remote.push_back(it);
            }
        }
    }
    // Each host orders the remote relays by its own hash, which spreads the
    // load of a data centre that has lost its relays.
    auto const seed = hash_bytes(own);
    std::sort(remote.begin(), remote.end(),
              [seed](auto const* a, auto const* b) {
                  return hash_bytes(a->name, seed) < hash_bytes(b->name, seed);
              });
    remote.resize(std::min(remote.size(), settings.max_remote_relays));
    for (auto const* const it : remote) {
        out.candidates.push_back(*it);
    }
    return out;
}

} // namespace snipemill
