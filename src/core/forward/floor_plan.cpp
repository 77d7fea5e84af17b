#include "core/forward/floor_plan.hpp"

#include "core/base/hash.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

namespace snipemill {

namespace {

// The first hosts of a data centre take over one after the other, at equal
// steps that leave time for the floors of the one before to arrive. If all of
// them have failed, the others follow spread over the rest of the time.
constexpr std::size_t stepped_hosts = 8;
constexpr double step = 1.0 / 12;

double place_of(std::size_t rank, std::size_t hosts, std::size_t data_centre,
                std::size_t data_centres)
{
    if (data_centre == 0 && rank == 0) {
        return 0;
    }
    // Half a step at most, so that the first hosts of several data centres do
    // not take over at once.
    auto const shift = step / 2 * static_cast<double>(data_centre) /
                       static_cast<double>(data_centres);
    if (rank < stepped_hosts) {
        return step * static_cast<double>(rank + 1) + shift;
    }
    auto const stepped = step * static_cast<double>(stepped_hosts);
    auto const rest = static_cast<double>(rank - stepped_hosts + 1) /
                      static_cast<double>(hosts - stepped_hosts + 1);
    return stepped + shift + rest * (1 - stepped - step / 2);
}

} // namespace

floor_plan plan_floors(std::vector<fleet_host> const& hosts,
                       std::string const& own,
                       std::string const& own_data_centre)
{
    std::map<std::string, std::vector<fleet_host const*>> by_data_centre;
    for (auto const& it : hosts) {
        by_data_centre[it.data_centre].push_back(&it);
    }
    for (auto& [name, members] : by_data_centre) {
        std::sort(members.begin(), members.end(), [](auto* a, auto* b) {
            return std::pair(hash_bytes(a->name), a->name) <
                   std::pair(hash_bytes(b->name), b->name);
        });
    }
    floor_plan out;
    std::size_t number = 0;
    for (auto const& [name, members] : by_data_centre) {
        if (name != own_data_centre) {
            if (members.front()->relay_port != 0) {
                out.other_firsts.push_back(*members.front());
            }
            ++number;
            continue;
        }
        for (std::size_t i = 0; i < members.size(); ++i) {
            if (members[i]->name == own) {
                out.place =
                    place_of(i, members.size(), number, by_data_centre.size());
            }
            else if (members[i]->relay_port != 0) {
                out.data_centre.push_back(*members[i]);
            }
        }
        ++number;
    }
    return out;
}

} // namespace snipemill
