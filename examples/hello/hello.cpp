#include "core/core.hpp"

#include <iostream>
#include <map>
#include <string>

using namespace snipemill;

// Builds a small configuration and prints which host owns which upstream.
int main()
{
    std::map<std::string, config_object> objects;
    auto const add = [&](config_object const& o) {
        objects[object_key(o)] = o;
    };
    add(data_centre_object{.name = "colombo", .region = "western-province"});
    add(group_object{.name = "stores-desk"});
    add(service_object{.name = "stores-desk-01", .group = "stores-desk"});
    for (std::uint32_t i = 1; i <= 2; ++i) {
        add(upstream_object{
            .id = upstream_id(i),
            .name = "stores-desk-01-" + std::to_string(i),
            .service = "stores-desk-01",
            .data_centre = "colombo",
            .address = "127.0.0.1:" + std::to_string(9000 + i),
        });
    }

    auto const view = topology::build(1, objects);
    auto const table = owner_table::compute(
        *view, {{.id = host_id("colombo-a"), .data_centre = "colombo"},
                {.id = host_id("colombo-b"), .data_centre = "colombo"}});
    for (topology_index i = 0; i < view->upstreams().size(); ++i) {
        auto const& u = view->upstreams()[i].object;
        auto const owner = *table->owners(i).first;
        std::cout << u.name << " is owned by " << table->hosts()[owner].id.value
                  << '\n';
    }
}
