#include "core/owner/peer_index.hpp"

#include "core/base/hash.hpp"

#include <bit>
#include <cassert>
#include <utility>

namespace snipemill {

peer_index::peer_index(std::size_t capacity)
    : table_(std::bit_ceil(2 * capacity + 2))
{}

void peer_index::add(std::uint64_t peer, peer_work kind, slot_handle handle)
{
    if (2 * (size_ + 1) > table_.size()) {
        grow();
    }
    auto place = home(peer);
    while (table_[place].used) {
        place = after(place);
    }
    table_[place] = {peer, handle, kind, true};
    ++size_;
}

void peer_index::remove(std::uint64_t peer, peer_work kind, slot_handle handle)
{
    for (auto i = home(peer); table_[i].used; i = after(i)) {
        auto const& it = table_[i];
        if (it.peer == peer && it.kind == kind && it.handle == handle) {
            close_gap(i);
            --size_;
            return;
        }
    }
    assert(false && "entry is not in the index");
}

void peer_index::find(std::uint64_t peer, std::vector<entry>& out) const
{
    for (auto i = home(peer); table_[i].used; i = after(i)) {
        if (table_[i].peer == peer) {
            out.push_back(table_[i]);
        }
    }
}

std::size_t peer_index::home(std::uint64_t peer) const
{
    return hash_combine(0, peer) & (table_.size() - 1);
}

std::size_t peer_index::after(std::size_t place) const
{
    return (place + 1) & (table_.size() - 1);
}

void peer_index::grow()
{
    auto const old = std::exchange(table_, {});
    table_.resize(2 * old.size());
    size_ = 0;
    for (auto const& it : old) {
        if (it.used) {
            add(it.peer, it.kind, it.handle);
        }
    }
}

// Moves later entries of the probe sequence back, so that no removed-entry
// marks are needed.
void peer_index::close_gap(std::size_t gap)
{
    auto const mask = table_.size() - 1;
    for (auto i = after(gap); table_[i].used; i = after(i)) {
        auto const distance = (i - home(table_[i].peer)) & mask;
        if (distance >= ((i - gap) & mask)) {
            table_[gap] = table_[i];
            gap = i;
        }
    }
    table_[gap] = {};
}

} // namespace snipemill
