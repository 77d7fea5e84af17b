#include "core/membership/relay_list.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

namespace {

// More are refused: the answer would come too late on a host that is that far
// behind.
constexpr std::size_t max_relayed = 64;

} // namespace

bool relay_list::full() const
{
    return probes_.size() >= max_relayed;
}

void relay_list::add(relayed_probe probe)
{
    probes_.push_back(std::move(probe));
}

std::optional<relayed_probe> relay_list::take(std::uint64_t sequence,
                                              host_id const& from)
{
    auto const it = std::find_if(
        probes_.begin(), probes_.end(), [&](relayed_probe const& p) {
            return p.sequence == sequence && p.target == from;
        });
    if (it == probes_.end()) {
        return std::nullopt;
    }
    auto found = std::move(*it);
    probes_.erase(it);
    return found;
}

void relay_list::expire(time_point now)
{
    std::erase_if(probes_,
                  [&](relayed_probe const& p) { return p.expires <= now; });
}

} // namespace snipemill
