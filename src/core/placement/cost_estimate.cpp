#include "core/placement/cost_estimate.hpp"

#include "core/base/hash.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace snipemill {

namespace {

// 160 KB. A key has one of the places of its set; the place that has been
// without a sample for longest is reused.
constexpr std::size_t max_keys = 4096;
constexpr std::size_t set_size = 8;

// Samples after which a mean forgets older ones.
constexpr float max_weight = 64;

// Samples that the estimate of the coarser key counts for.
constexpr float coarser_weight = 8;

// Weight of earlier samples after the shards have changed.
constexpr float weight_after_change = 4;

// The tail is moved by each sample so that a tenth of the samples lie above it.
// A tenth is more than the share of requests that meet a pause of an upstream
// (250 ms in 6 s), so pauses do not make the tail.
constexpr double tail_quantile = 0.9;
constexpr double tail_step = 2; // over the weight
// Bounds of the tail over the mean, and the tail after one sample.
constexpr float min_tail = 1.1F;
constexpr float max_tail = 5;
constexpr float first_tail = 1.5F;

// A sample counts in the mean for at most this multiple of the tail: a pause is
// not work.
constexpr float max_tails = 1.5F;

// Hashes of the keys, the coarsest first.
std::array<std::uint64_t, 3> levels_of(cost_key const& key)
{
    auto const route = hash_bytes(key.route, 1);
    auto const account = hash_combine(route, hash_bytes(key.account, 2));
    return {route, account, hash_combine(account, hash_bytes(key.service, 3))};
}

std::uint64_t service_level(std::string_view service)
{
    return hash_bytes(service, 4);
}

} // namespace

cost_estimate::cost_estimate() : entries_(max_keys) {}

cost_estimate::entry const* cost_estimate::find(std::uint64_t key) const
{
    auto const first = key % (max_keys / set_size) * set_size;
    for (std::size_t i = first; i < first + set_size; ++i) {
        if (entries_[i].key == key) {
            return &entries_[i];
        }
    }
    return nullptr;
}

cost_estimate::entry& cost_estimate::find_or_evict(std::uint64_t key,
                                                   entry const& coarser)
{
    auto const first = key % (max_keys / set_size) * set_size;
    auto* out = &entries_[first];
    for (std::size_t i = first; i < first + set_size; ++i) {
        auto& it = entries_[i];
        if (it.key == key) {
            return it;
        }
        if (it.used < out->used) {
            out = &it;
        }
    }
    *out = coarser;
    out->key = key;
    out->weight = std::min(coarser.weight, coarser_weight);
    return *out;
}

cost_estimate::entry cost_estimate::add_to(std::uint64_t key,
                                           entry const& coarser, double work_ms)
{
    auto& it = find_or_evict(key, coarser);
    it.used = uses_;
    auto const sample = static_cast<float>(work_ms);
    if (it.weight == 0) {
        it.mean = sample;
        it.tail = first_tail * sample;
        it.weight = 1;
        return it;
    }
    it.weight = std::min(max_weight, it.weight + 1);
    auto const above = sample > it.tail ? 1 : 0;
    it.tail *= static_cast<float>(
        std::exp(tail_step / it.weight * (above - (1 - tail_quantile))));
    it.mean += (std::min(sample, max_tails * it.tail) - it.mean) / it.weight;
    it.tail = std::clamp(it.tail, min_tail * it.mean, max_tail * it.mean);
    return it;
}

void cost_estimate::add(cost_key const& key, double work_ms)
{
    ++uses_;
    auto const levels = levels_of(key);
    entry coarser{.route = levels[0]};
    for (auto const it : levels) {
        coarser = add_to(it, coarser, work_ms);
    }
    add_to(service_level(key.service), {}, work_ms);
}

work_estimate cost_estimate::expect(cost_key const& key) const
{
    work_estimate out;
    for (auto const level : levels_of(key)) {
        auto const* const it = find(level);
        if (!it) {
            break;
        }
        out = {.mean = it->mean, .tail = it->tail};
    }
    return out;
}

double cost_estimate::mean_at(std::string_view service) const
{
    auto const* const it = find(service_level(service));
    return it ? it->mean : 0;
}

void cost_estimate::forget(std::string_view route)
{
    auto const hash = hash_bytes(route, 1);
    for (auto& it : entries_) {
        // Means over all routes of a service may contain the route.
        if (it.route == hash || it.route == 0) {
            it.weight = std::min(it.weight, weight_after_change);
        }
    }
}

} // namespace snipemill
