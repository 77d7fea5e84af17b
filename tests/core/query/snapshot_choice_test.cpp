#include "core/query/snapshot_choice.hpp"
#include "properties.hpp"
#include "query_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

namespace {

constexpr std::uint32_t services = 4;
constexpr std::uint32_t replicas = 2;

// A catalogue that was told what each upstream of a world holds.
struct choice_case
{
    explicit choice_case(query_world const& w) : routes(w.view)
    {
        catalogue.adopt(*w.view->config);
        for (auto const& [u, versions] : w.held) {
            auto const answer = w.description({.targets = {u}});
            catalogue.on_description(w.now, *routes.find(u),
                                     answer.upstreams.front());
        }
    }
    std::optional<index_version> choose()
    {
        return snapshot_choice().choose(routes, catalogue, 0);
    }

    route_table routes;
    index_catalogue catalogue;
};

// The definition, over sets.
std::optional<index_version> expected(query_world& w)
{
    std::map<index_version, std::set<std::uint32_t>> serving;
    for (auto const& [u, versions] : w.held) {
        if (w.upstream(u).state != upstream_state::active) {
            continue;
        }
        for (auto const version : versions) {
            serving[version].insert(w.service_of(u));
        }
    }
    std::optional<index_version> best;
    std::size_t most = 0;
    for (auto const& [version, set] : serving) {
        if (set.size() >= most) {
            best = version;
            most = set.size();
        }
    }
    return best;
}

} // namespace

TEST_GROUP(snapshot_choice){};

// Guards against a snapshot that is not the newest one that all services can
// serve, or, without such a one, the one that covers most, newer on a tie.
TEST(snapshot_choice, newest_complete_version_else_best_covered)
{
    auto const ok = rc::check([] {
        query_world w({.services = services, .replicas = replicas});
        for (std::uint32_t s = 0; s < services; ++s) {
            for (std::uint32_t r = 0; r < replicas; ++r) {
                auto& held = w.held[w.id(s, r)];
                held.clear();
                for (std::uint64_t v = 5; v < 9; ++v) {
                    if (*rc::gen::inRange(0, 3) > 0) {
                        held.push_back(index_version(v));
                    }
                }
                if (*rc::gen::inRange(0, 4) == 0) {
                    w.upstream(w.id(s, r)).state = upstream_state::leaving;
                }
            }
        }
        w.publish();
        RC_ASSERT(choice_case(w).choose() == expected(w));
    });
    CHECK(ok);
}

// Guards against preferring a half-built repartitioned version because it has
// more partitions in number.
TEST(snapshot_choice, covered_share_counts_not_the_number_of_partitions)
{
    query_world w({.services = services, .replicas = 1});
    w.held[w.id(3, 0)] = {};
    choice_case c(w);
    upstream_description it{.upstream = w.id(0, 0)};
    it.held = {{.version = index_version(7),
                .partition_count = 8,
                .partitions = w.merged(w.id(0, 0)).partitions},
               {.version = index_version(8), .partition_count = 64}};
    for (std::uint32_t p = 0; p < 16; ++p) {
        it.held.back().partitions.push_back({.id = partition_id(p)});
    }
    c.catalogue.on_description(w.now, *c.routes.find(it.upstream), it);
    LONGS_EQUAL(7, c.choose()->value);
}

// Guards against a version without known partitions being taken for one that
// holds none.
TEST(snapshot_choice, version_without_partitions_is_a_candidate)
{
    query_world w({.services = services, .replicas = 1});
    choice_case c(w);
    upstream_description it{.upstream = w.id(0, 0)};
    it.held = {{.version = index_version(8)}};
    auto const position = *c.routes.find(it.upstream);
    c.catalogue.on_description(w.now, position, it);
    auto const* const held =
        c.catalogue.upstream(position).find(index_version(8));
    CHECK(held != nullptr && !held->known);
    LONGS_EQUAL(0, c.catalogue.find_map(0, index_version(8)).usable_count());
}

// Guards against a catalogue that forgets a contradiction, or that keeps
// offering a version that an upstream has reported as gone.
TEST(snapshot_choice, catalogue_learns_from_results)
{
    query_world w({.services = services, .replicas = 1});
    choice_case c(w);
    auto const u = w.id(0, 0);
    auto const position = *c.routes.find(u);
    auto result = w.merged(u);
    result.partition_count = 99;
    c.catalogue.on_result(w.now, position, index_version(7), result);
    c.catalogue.on_result(w.now, position, index_version(7), w.merged(u));
    LONGS_EQUAL(0, c.catalogue.find_map(0, index_version(7)).usable_count());

    w.held[u] = {index_version(8)};
    c.catalogue.on_result(w.now, position, index_version(7),
                          w.failed(u, sub_outcome::version_gone));
    CHECK(c.catalogue.upstream(position).find(index_version(7)) == nullptr);
    CHECK(c.catalogue.upstream(position).find(index_version(8)) != nullptr);
}
