#include "core/rollouts/decider_rank.hpp"

#include "core/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

namespace {

constexpr duration first_takeover = from_ms(1000);
constexpr duration takeover_step = from_ms(500);

} // namespace

std::optional<std::size_t> decider_rank(std::vector<fleet_host> const& hosts,
                                        std::string const& own)
{
    auto const place = [](std::string const& name) {
        return std::pair(hash_bytes(name), std::string_view(name));
    };
    bool listed = false;
    std::size_t before = 0;
    for (auto const& it : hosts) {
        if (it.relay_port == 0) {
            continue;
        }
        listed = listed || it.name == own;
        before += place(it.name) < place(own) ? 1 : 0;
    }
    return listed ? std::optional(before) : std::nullopt;
}

duration takeover_delay(std::size_t rank)
{
    return first_takeover + takeover_step * static_cast<std::int64_t>(rank);
}

} // namespace snipemill
