#pragma once

#include "core/base/slot_map.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace snipemill {

enum class peer_work : std::uint8_t
{
    batch,
    submit,
    describe
};

// Finds the work that came on a peer's stream. An open-addressing table with
// linear probing: every batch is entered and removed once, and a node-based
// map would allocate each time.
class peer_index
{
public:
    struct entry
    {
        std::uint64_t peer = 0;
        slot_handle handle;
        peer_work kind = peer_work::batch;
        bool used = false;
    };

    explicit peer_index(std::size_t capacity);

    void add(std::uint64_t peer, peer_work kind, slot_handle handle);
    void remove(std::uint64_t peer, peer_work kind, slot_handle handle);
    // Appends the entries of the peer.
    void find(std::uint64_t peer, std::vector<entry>& out) const;

private:
    std::size_t home(std::uint64_t peer) const;
    std::size_t after(std::size_t place) const;
    void grow();
    void close_gap(std::size_t gap);

    std::vector<entry> table_; // a power of two, at most half full
    std::size_t size_ = 0;
};

} // namespace snipemill
