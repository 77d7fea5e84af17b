#include "core/base/rng.hpp"
#include "core/ownership/owner_table.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

using namespace snipemill;

namespace {

std::shared_ptr<topology const> make_topology(int services, int replicas)
{
    std::map<std::string, config_object> objects;
    auto const add = [&](config_object const& o) {
        objects[object_key(o)] = o;
    };
    add(data_centre_object{.name = "a"});
    add(data_centre_object{.name = "b"});
    add(group_object{.name = "g"});
    std::uint32_t id = 1;
    for (int s = 0; s < services; ++s) {
        auto const service = "s" + std::to_string(s);
        add(service_object{.name = service, .group = "g"});
        for (int r = 0; r < replicas; ++r) {
            add(upstream_object{.id = upstream_id(id),
                                .name = "u" + std::to_string(id),
                                .service = service,
                                .data_centre = "a",
                                .address = "10.0.0.1:80"});
            ++id;
        }
    }
    return topology::build(1, objects);
}

std::vector<live_host> make_hosts(int n)
{
    std::vector<live_host> hosts;
    hosts.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i) {
        hosts.push_back({host_id("h" + std::to_string(i)), "a", "10.0.1.1",
                         static_cast<std::uint16_t>(7000 + i)});
    }
    return hosts;
}

host_id first_owner(owner_table const& table, topology_index u)
{
    return table.hosts()[*table.owners(u).first].id;
}

host_id second_owner(owner_table const& table, topology_index u)
{
    return table.hosts()[*table.owners(u).second].id;
}

// Upstreams whose owner differs between two tables.
std::set<topology_index> moved(topology const& view, owner_table const& before,
                               owner_table const& after)
{
    std::set<topology_index> found;
    for (topology_index u = 0; u < view.upstreams().size(); ++u) {
        if (first_owner(before, u) != first_owner(after, u)) {
            found.insert(u);
        }
    }
    return found;
}

} // namespace

TEST_GROUP(owner_table){};

// Guards against a membership change that moves, and so makes cold,
// upstreams that have nothing to do with the host.
TEST(owner_table, join_and_leave_move_only_services_of_that_host)
{
    auto const view = make_topology(200, 2);
    auto const all = make_hosts(12);
    auto const full = owner_table::compute(*view, all);
    for (std::size_t gone = 0; gone < all.size(); ++gone) {
        auto fewer = all;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(gone));
        auto const part = owner_table::compute(*view, fewer);
        std::set<topology_index> touched;
        for (auto const& service : view->services()) {
            for (auto const u : service.upstreams) {
                if (first_owner(*full, u) == all[gone].id) {
                    touched.insert(service.upstreams.begin(),
                                   service.upstreams.end());
                }
            }
        }
        auto const changed = moved(*view, *full, *part);
        CHECK(std::includes(touched.begin(), touched.end(), changed.begin(),
                            changed.end()));
        // A twelfth of 400 is 33; twice that is far outside chance.
        CHECK(changed.size() <= 67);
    }
}

// Guards against a retry at a second owner that does not take over.
TEST(owner_table, second_owner_is_the_first_once_that_is_gone)
{
    for (int const n : {2, 3, 7}) {
        auto const view = make_topology(40, 3);
        auto const all = make_hosts(n);
        auto const full = owner_table::compute(*view, all);
        for (topology_index u = 0; u < view->upstreams().size(); ++u) {
            auto fewer = all;
            std::erase_if(fewer, [&](live_host const& h) {
                return h.id == first_owner(*full, u);
            });
            auto const part = owner_table::compute(*view, fewer);
            CHECK(first_owner(*part, u) == second_owner(*full, u));
        }
    }
}

// Guards against one host's loss taking all replicas of a service.
TEST(owner_table, replicas_have_different_owners_where_hosts_suffice)
{
    auto const view = make_topology(100, 3);
    for (int n = 3; n < 9; ++n) {
        auto const table = owner_table::compute(*view, make_hosts(n));
        for (auto const& service : view->services()) {
            std::set<host_id> owners;
            for (auto const u : service.upstreams) {
                owners.insert(first_owner(*table, u));
            }
            LONGS_EQUAL(3, owners.size());
        }
    }
}

// Guards against hosts that disagree because they learned of each other in
// another order.
TEST(owner_table, order_of_hosts_does_not_matter)
{
    auto const view = make_topology(50, 2);
    auto hosts = make_hosts(9);
    auto const table = owner_table::compute(*view, hosts);
    rng random(7);
    for (int round = 0; round < 10; ++round) {
        for (std::uint32_t i = 8; i > 0; --i) {
            std::swap(hosts[i], hosts[random.below(i + 1)]);
        }
        auto const other = owner_table::compute(*view, hosts);
        CHECK(moved(*view, *table, *other).empty());
    }
}

// Guards against a crash, or an owner elsewhere, when a data centre has no
// live host.
TEST(owner_table, data_centre_without_hosts_has_no_owners)
{
    auto const view = make_topology(3, 2);
    auto hosts = make_hosts(3);
    for (auto& it : hosts) {
        it.data_centre = "b";
    }
    for (auto const& list : {hosts, std::vector<live_host>()}) {
        auto const table = owner_table::compute(*view, list);
        for (topology_index u = 0; u < view->upstreams().size(); ++u) {
            CHECK(!table->owners(u).first);
            CHECK(!table->owners(u).second);
        }
    }
}

// Guards against a missing owner when replicas outnumber hosts.
TEST(owner_table, single_host_owns_all_replicas)
{
    auto const view = make_topology(3, 2);
    auto const table = owner_table::compute(*view, make_hosts(1));
    for (topology_index u = 0; u < view->upstreams().size(); ++u) {
        CHECK(table->owners(u).first == host_index{0});
        CHECK(!table->owners(u).second);
    }
}
