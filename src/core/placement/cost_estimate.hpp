#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace snipemill {

// What the work of a request depends on, as far as a host sees it.
struct cost_key
{
    std::string_view route;
    std::string_view account; // may be empty
    std::string_view service; // the shard, for a request to every shard
};

// Work in ms on an upstream of usual speed. Zero: not known.
struct work_estimate
{
    double mean = 0;
    double tail = 0; // 90th percentile
};

// Predicts the work of requests from that of earlier ones. Load pattern: mixed
// costs. Each sample counts for the route, for the route and account, and for
// the route, account and shard. The estimate of a finer key begins with that of
// the coarser one, which counts as a few samples.
class cost_estimate
{
public:
    cost_estimate();

    void add(cost_key const& key, double work_ms);
    work_estimate expect(cost_key const& key) const;
    // Mean work of all requests to a service; 0 without a sample.
    double mean_at(std::string_view service) const;
    // The set of shards of the route has changed, and so has the work at each.
    // Samples so far keep the weight of a few.
    void forget(std::string_view route);

private:
    struct entry
    {
        std::uint64_t key = 0; // 0: unused
        std::uint64_t route = 0;
        std::uint32_t used = 0; // value of uses_ at the last sample
        float weight = 0;       // samples, up to a maximum
        float mean = 0;
        float tail = 0;
    };

    entry const* find(std::uint64_t key) const;
    // The entry of the key, made like `coarser` when there is none.
    entry& find_or_evict(std::uint64_t key, entry const& coarser);
    entry add_to(std::uint64_t key, entry const& coarser, double work_ms);

    std::vector<entry> entries_;
    std::uint32_t uses_ = 0;
};

} // namespace snipemill
