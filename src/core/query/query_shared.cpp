#include "core/query/query_shared.hpp"

#include "core/base/hash.hpp"

#include <algorithm>
#include <cassert>

namespace snipemill {

namespace {

// The ids of a replaced process continue somewhere else. 24 random bits above
// 24 counted ones keep ids below 2^53 for up to 32 lanes, which JSON readers
// that use doubles can represent.
std::uint64_t first_id(std::uint64_t seed, std::uint32_t lane,
                       std::uint32_t lanes)
{
    constexpr std::uint64_t random_bits = 0xffffff;
    auto const start = ((hash_combine(seed, lane) & random_bits) << 24) + 1;
    return start * lanes + lane;
}

} // namespace

query_shared::query_shared(query_engine_settings const& engine_settings,
                           std::uint32_t lane, std::uint32_t lanes,
                           std::uint64_t seed)
    : settings(engine_settings), random(seed),
      retries(std::max(initial_retries,
                       engine_settings.retry_budget * budget_window),
              engine_settings.retry_budget > 0 ? initial_retries : 0),
      moves(
          std::max(initial_moves, engine_settings.move_budget * budget_window),
          engine_settings.move_budget > 0 ? initial_moves : 0),
      prints(max_known_prints), lanes_(lanes),
      next_id_(first_id(seed, lane, lanes))
{
    assert(lane < lanes);
}

request_id query_shared::next_request()
{
    auto const id = next_id_;
    next_id_ += lanes_;
    return request_id(id);
}

group_load& query_shared::load(group_object const& group)
{
    auto const it = loads_.find(group.name);
    if (it != loads_.end()) {
        return it->second;
    }
    // At least one token, so that a small budget allows a hedge at all.
    auto const capacity = std::max(1.0, group.hedge_budget * budget_window);
    group_load fresh{.hedges = token_bucket(capacity, 0)};
    return loads_.emplace(group.name, fresh).first->second;
}

bool query_shared::set_silent(host_id const& owner, bool is_silent)
{
    auto const changed =
        is_silent ? silent.insert(owner).second : silent.erase(owner) > 0;
    if (changed && routes) {
        routes = std::make_shared<route_table const>(routes->view(), silent);
    }
    return changed;
}

std::vector<slot_handle> query_shared::open_runs() const
{
    std::vector<slot_handle> out;
    out.reserve(requests.size());
    for (auto const& [id, batch] : requests) {
        out.push_back(batch.run);
    }
    std::sort(out.begin(), out.end(), [](slot_handle a, slot_handle b) {
        return a.packed() < b.packed();
    });
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
}

} // namespace snipemill
