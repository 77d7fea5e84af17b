#include "forward_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace snipemill::test;
namespace names = snipemill::platform::names;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds change_within{5};
constexpr unsigned time_left_ms = 900;

} // namespace

// The store comes back from a copy that is some seconds old.
TEST_GROUP(store_era)
{
    forward_fixture f{"restored-store"};
    std::size_t next_id = 0;

    void publish_extra_route(bool exists)
    {
        auto state = f.fleet->manifest();
        state.version += 3;
        state.extra_route = exists;
        f.fleet->publish(state);
    }
    // Whether every host responds to the extra route with this status.
    bool all_respond(char const* status)
    {
        std::vector<std::shared_ptr<raw_peer>> peers;
        for (auto const& it : f.fleet->hosts()) {
            peers.push_back(raw_peer::connect(f.io, it->caller_port));
            peers.back()->send(forward_fixture::request(
                "/extra/x", "r" + std::to_string(next_id++), time_left_ms));
        }
        run_until(f.io, [&] {
            return std::all_of(peers.begin(), peers.end(), [](auto const& it) {
                return it->has("\r\n\r\n");
            });
        });
        return std::all_of(peers.begin(), peers.end(), [&](auto const& it) {
            return it->in.starts_with(std::string("HTTP/1.1 ") + status);
        });
    }
    bool all_respond_within(char const* status, seconds time)
    {
        auto const end = std::chrono::steady_clock::now() + time;
        while (!all_respond(status)) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            f.run_for(milliseconds(100));
        }
        return true;
    }
};

// The revision of the lost write is issued again for another one. Guards
// against hosts that have this revision and never learn of what was written.
TEST(store_era, a_change_at_a_revision_that_is_issued_twice_takes_effect)
{
    CHECK(f.start(3, time_left_ms));
    f.run_for(seconds(1));
    auto& store = f.fleet->store();
    auto const copied_at = std::chrono::steady_clock::now();
    // Lost; the hosts' copies have its revision.
    store.put(names::crashes, "odd", {});
    f.run_for(seconds(2));
    auto const revision = store.revision();
    store.restore(copied_at);
    publish_extra_route(true);
    UNSIGNED_LONGS_EQUAL(revision, store.revision());
    CHECK(all_respond_within("200", change_within));
}

// Guards against a manifest that goes back on a host.
TEST(store_era, hosts_keep_the_manifest_that_the_store_has_lost)
{
    CHECK(f.start(3, time_left_ms));
    auto const copied_at = std::chrono::steady_clock::now();
    publish_extra_route(true);
    CHECK(all_respond_within("200", change_within));
    f.fleet->store().restore(copied_at);
    for (int i = 0; i < 20; ++i) {
        CHECK(all_respond("200"));
        f.run_for(milliseconds(200));
    }
    // The operator writes it again, and goes on.
    auto const lost = f.fleet->manifest();
    f.fleet->publish(lost);
    publish_extra_route(false);
    CHECK(all_respond_within("404", change_within));
}

// Guards against a host that the fleet does not count until its next renewal,
// a minute later, because no answer shows that the entry is lost.
TEST(store_era, a_host_writes_its_lost_entry_again)
{
    CHECK(f.start(3, time_left_ms));
    auto& store = f.fleet->store();
    CHECK(run_until(f.io, [&] { return store.has(names::hosts, "h1"); }));
    f.run_for(seconds(1));
    store.remove(names::hosts, "h1");
    auto const copied_at = std::chrono::steady_clock::now();
    CHECK(run_until(f.io, [&] { return store.has(names::hosts, "h1"); }));
    f.run_for(seconds(1));
    store.restore(copied_at);
    CHECK_FALSE(store.has(names::hosts, "h1"));
    // Takes the revision of the lost write, so that no watch fails.
    store.put(names::crashes, "odd", {});
    auto const end = std::chrono::steady_clock::now() + change_within;
    CHECK(run_until(f.io, [&] {
        return store.has(names::hosts, "h1") ||
               std::chrono::steady_clock::now() > end;
    }));
    CHECK(store.has(names::hosts, "h1"));
}
