#include "core/membership/update_queue.hpp"

#include <algorithm>
#include <bit>

namespace snipemill {

namespace {

// Factor of the logarithm, as usual for SWIM: 3 keeps the chance that an
// update misses a host negligible at a tenth of the datagrams lost.
constexpr std::uint32_t send_factor = 3;

std::uint32_t send_limit(std::size_t fleet_size)
{
    return send_factor * static_cast<std::uint32_t>(std::bit_width(fleet_size));
}

} // namespace

void update_queue::push(host_id const& id)
{
    erase(id);
    entries_.push_back({id, 0, next_order_++});
}

void update_queue::erase(host_id const& id)
{
    std::erase_if(entries_, [&](entry const& e) { return e.id == id; });
}

std::vector<host_id> update_queue::take(std::size_t n, std::size_t fleet_size)
{
    auto const by_need = [](entry const& a, entry const& b) {
        return a.sent != b.sent ? a.sent < b.sent : a.order > b.order;
    };
    std::sort(entries_.begin(), entries_.end(), by_need);
    std::vector<host_id> taken;
    for (std::size_t i = 0; i < std::min(n, entries_.size()); ++i) {
        ++entries_[i].sent;
        taken.push_back(entries_[i].id);
    }
    auto const limit = send_limit(fleet_size);
    std::erase_if(entries_, [&](entry const& e) { return e.sent >= limit; });
    return taken;
}

} // namespace snipemill
