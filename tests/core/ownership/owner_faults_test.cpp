#include "core/membership/fault_plan.hpp"
#include "core/ownership/live_view.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::test;

namespace {

constexpr std::uint32_t data_centres = 3;
constexpr std::uint32_t hosts_each = 4;
constexpr std::uint32_t services = 10;
constexpr duration step = from_ms(100);

// The remote suspicion and several low-rate probes of each host.
constexpr duration recovery = from_ms(120'000);

// The owner tables that the running hosts compute from what they know.
std::vector<std::shared_ptr<owner_table const>> tables(fleet& f,
                                                       topology const& config)
{
    std::vector<std::shared_ptr<owner_table const>> all;
    for (auto const& it : f.hosts()) {
        if (it.up) {
            all.push_back(owner_table::compute(config, live_hosts(*it.list)));
        }
    }
    return all;
}

fleet::host const& host_of(fleet& f, owner_table const& table, host_index i)
{
    auto const& id = table.hosts()[i].id;
    return *std::find_if(
        f.hosts().begin(), f.hosts().end(),
        [&](fleet::host const& it) { return it.info.id == id; });
}

std::size_t running(fleet& f, std::string const& data_centre)
{
    return static_cast<std::size_t>(std::count_if(
        f.hosts().begin(), f.hosts().end(), [&](fleet::host const& it) {
            return it.up && it.info.data_centre == data_centre;
        }));
}

// Owners are hosts of the upstream's data centre, and the second is another
// one than the first.
bool owners_are_in_place(fleet& f, topology const& config,
                         owner_table const& table)
{
    for (topology_index u = 0; u < config.upstreams().size(); ++u) {
        auto const& dc = config.upstreams()[u].object.data_centre;
        auto const& owners = table.owners(u);
        if (owners.first == owners.second && owners.first) {
            return false;
        }
        for (auto const& it : {owners.first, owners.second}) {
            if (it && host_of(f, table, *it).info.data_centre != dc) {
                return false;
            }
        }
    }
    return true;
}

// Every upstream has a running first owner, and a running second one, as far
// as its data centre has so many running hosts.
bool owners_are_running(fleet& f, topology const& config,
                        owner_table const& table)
{
    for (topology_index u = 0; u < config.upstreams().size(); ++u) {
        auto const n = running(f, config.upstreams()[u].object.data_centre);
        auto const& owners = table.owners(u);
        if (owners.first.has_value() != (n >= 1) ||
            owners.second.has_value() != (n >= 2)) {
            return false;
        }
        for (auto const& it : {owners.first, owners.second}) {
            if (it && !host_of(f, table, *it).up) {
                return false;
            }
        }
    }
    return true;
}

bool same_owners(topology const& config, owner_table const& a,
                 owner_table const& b)
{
    if (a.hosts() != b.hosts()) {
        return false;
    }
    for (topology_index u = 0; u < config.upstreams().size(); ++u) {
        if (a.owners(u) != b.owners(u)) {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_GROUP(owner_faults){};

// Guards against an upstream that keeps a dead owner, has none or has two for
// good after losses, pauses, deaths, restarts and partitions that each occur
// twice and at the same time; and against an owner in another data centre
// while they last.
TEST(owner_faults, every_upstream_has_one_owner_after_faults_together)
{
    auto const config = replicated_topology(services, data_centres);
    CHECK(rc::check([&] {
        auto const plan = *fault_plans(data_centres * hosts_each);
        fleet f(plan.seed, data_centres, hosts_each);
        RC_ASSERT(f.run_until_agreed(from_ms(30'000)));
        fault_driver faults(plan, f);
        while (!faults.done()) {
            faults.apply();
            f.run_for(step);
            for (auto const& it : tables(f, *config)) {
                RC_ASSERT(owners_are_in_place(f, *config, *it));
            }
        }
        faults.apply();
        RC_ASSERT(f.run_until_agreed(recovery));
        auto const all = tables(f, *config);
        for (auto const& it : all) {
            RC_ASSERT(same_owners(*config, *all.front(), *it));
            RC_ASSERT(owners_are_running(f, *config, *it));
        }
    }));
}
