#include "core/owner/upstream_roster.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace snipemill {

owned_upstream* upstream_roster::find(upstream_id id)
{
    auto const it = lower_bound(id);
    if (it == entries_.end() || it->id != id) {
        return nullptr;
    }
    return it->upstream.get();
}

owned_upstream& upstream_roster::add(std::unique_ptr<owned_upstream> upstream)
{
    auto const id = upstream->id();
    assert(find(id) == nullptr);
    auto const it = entries_.insert(lower_bound(id), {id, std::move(upstream)});
    return *it->upstream;
}

void upstream_roster::remove(upstream_id id)
{
    assert(find(id) != nullptr);
    entries_.erase(lower_bound(id));
}

std::vector<upstream_roster::entry>::iterator
upstream_roster::lower_bound(upstream_id id)
{
    return std::lower_bound(
        entries_.begin(), entries_.end(), id,
        [](entry const& e, upstream_id wanted) { return e.id < wanted; });
}

} // namespace snipemill
