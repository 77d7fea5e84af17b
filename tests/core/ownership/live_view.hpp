#pragma once

#include "core/membership/member_list.hpp"
#include "core/ownership/owner_table.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace snipemill::test {

// The hosts that may own upstreams, as the control plane lists them.
inline std::vector<live_host> live_hosts(member_list const& list)
{
    std::vector<live_host> out;
    auto const add = [&](member_info const& it) {
        out.push_back({.id = it.id,
                       .data_centre = it.data_centre,
                       .ip = it.ip,
                       .peer_port = it.peer_port});
    };
    for (auto const& it : list.members()) {
        if (it.state == member_state::alive ||
            it.state == member_state::suspect) {
            add(it);
        }
    }
    add(list.self());
    std::sort(
        out.begin(), out.end(),
        [](live_host const& a, live_host const& b) { return a.id < b.id; });
    return out;
}

// Services with a replica in each of the data centres "dc0", "dc1" and so on.
// Ids of upstreams start at 1; those of one service are consecutive.
inline std::shared_ptr<topology const>
replicated_topology(std::uint32_t services, std::uint32_t data_centres,
                    std::uint32_t slots = 2)
{
    std::map<std::string, config_object> all;
    auto const put = [&](config_object const& o) { all[object_key(o)] = o; };
    put(group_object{.name = "stores-desk"});
    for (std::uint32_t dc = 0; dc < data_centres; ++dc) {
        put(data_centre_object{.name = "dc" + std::to_string(dc)});
    }
    std::uint32_t id = 0;
    for (std::uint32_t s = 0; s < services; ++s) {
        auto const service = "depot-" + std::to_string(s);
        put(service_object{
            .name = service, .group = "stores-desk", .slots = slots});
        for (std::uint32_t dc = 0; dc < data_centres; ++dc) {
            ++id;
            put(upstream_object{.id = upstream_id(id),
                                .name = "u" + std::to_string(id),
                                .service = service,
                                .data_centre = "dc" + std::to_string(dc),
                                .address =
                                    "10.1.0.1:" + std::to_string(7000 + id)});
        }
    }
    return topology::build(1, all);
}

} // namespace snipemill::test
