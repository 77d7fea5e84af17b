#include "core/owner/handover_store.hpp"

#include <algorithm>
#include <cstddef>

namespace snipemill {

namespace {

// An owner has 5 to 30 upstreams; several may leave at once.
constexpr std::size_t max_entries = 1024;

} // namespace

void handover_store::put(time_point now, duration lifetime,
                         upstream_gauge const& state)
{
    std::erase_if(entries_, [&](entry const& it) {
        return it.until <= now || it.state.upstream == state.upstream;
    });
    if (entries_.size() < max_entries) {
        entries_.push_back({state, now + lifetime});
    }
}

std::optional<upstream_gauge> handover_store::take(time_point now,
                                                   upstream_id id)
{
    auto const it =
        std::find_if(entries_.begin(), entries_.end(),
                     [&](entry const& e) { return e.state.upstream == id; });
    if (it == entries_.end()) {
        return std::nullopt;
    }
    auto const found = *it;
    entries_.erase(it);
    if (found.until <= now) {
        return std::nullopt;
    }
    return found.state;
}

} // namespace snipemill
