#include "relay_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::test;

TEST_GROUP(relay_pool)
{
    relay_pool_fixture f;

    void setup() override
    {
        f.pool.set_relays(three_relays(), f.now);
        f.probe();
    }
};

// Guards against queries sent to a relay that may not exist.
TEST(relay_pool, a_relay_is_used_after_it_answered_a_probe)
{
    relay_pool_fixture fresh;
    fresh.pool.set_relays(three_relays(), fresh.now);
    fresh.pool.probe(fresh.now);
    STRCMP_EQUAL("none", fresh.choose().c_str());
    fresh.port.answer_probes();
    CHECK(fresh.choose() != "none");
    LONGS_EQUAL(3, fresh.state_changes);
}

// Guards against needless traffic between data centres, and against a loaded
// relay being chosen while another one is free.
TEST(relay_pool, prefers_the_least_loaded_relay_of_the_own_data_centre)
{
    auto const first = f.pool.choose({});
    STRCMP_EQUAL("a", first->host.data_centre.c_str());
    first->open = 3;
    auto const second = f.pool.choose({});
    STRCMP_EQUAL("a", second->host.data_centre.c_str());
    CHECK(second != first);
    // 12 open queries per relay of half a core exceed the remote penalty.
    first->open = 12;
    second->open = 12;
    STRCMP_EQUAL("b0", f.choose().c_str());
}

// A relay freezes. Guards against sending queries to the relay before it
// has answered a probe, and against excluding it for good.
TEST(relay_pool, a_failed_relay_is_left_out_until_it_answers_a_probe)
{
    auto const it = f.pool.choose({});
    f.pool.mark_failed(*it, f.now);
    auto const other = f.pool.choose({});
    CHECK(other != it);
    f.now += f.pool.settings().failed_probe_interval;
    f.probe();
    CHECK(it->usable);
}

// Guards against a frozen relay that counts as usable: its connection is open,
// and no answer arrives.
TEST(relay_pool, a_probe_without_an_answer_fails_the_relay)
{
    f.now += f.pool.settings().probe_interval;
    f.pool.probe(f.now);
    UNSIGNED_LONGS_EQUAL(3, f.port.probes.size());
    f.now += f.pool.settings().probe_timeout;
    f.pool.probe(f.now);
    CHECK(f.port.probes[0]->cancelled);
    STRCMP_EQUAL("none", f.choose().c_str());
}

// Guards against losing the state of relays when the fleet changes.
TEST(relay_pool, relays_that_stay_keep_their_state)
{
    auto hosts = three_relays();
    hosts.erase(hosts.begin());
    f.pool.set_relays(hosts, f.now);
    STRCMP_EQUAL("a1", f.choose().c_str());
    // A replaced host has another address; it is probed first.
    hosts[0].ip = "192.0.2.9";
    f.pool.set_relays(hosts, f.now);
    STRCMP_EQUAL("b0", f.choose().c_str());
}

// A data centre is cut off. Guards against hosts that stay in rotation
// because they have no connections to shards by which they could detect the
// cut.
TEST(relay_pool, learns_from_relays_that_the_data_centre_is_cut_off)
{
    CHECK_FALSE(f.pool.cut_off());
    f.now += f.pool.settings().probe_interval;
    f.pool.probe(f.now);
    for (auto const& it : f.port.probes) {
        if (it->to == "b0") {
            it->on_event(relay_lost{});
        }
        else {
            it->on_event(relay_refused{relay_refusal::cut_off});
        }
    }
    CHECK(f.pool.cut_off());
    f.port.probes.clear();
    f.now += f.pool.settings().probe_interval;
    f.probe();
    CHECK_FALSE(f.pool.cut_off());
}

// Guards against a host that counts as cut off while its relays restart.
TEST(relay_pool, lost_relays_do_not_mean_a_cut)
{
    f.now += f.pool.settings().probe_interval;
    f.pool.probe(f.now);
    f.port.answer_probes(relay_lost{});
    STRCMP_EQUAL("none", f.choose().c_str());
    CHECK_FALSE(f.pool.cut_off());
}

// Guards against a host that marks all relays as failed because the host itself
// was delayed.
TEST(relay_pool, a_late_step_does_not_fail_a_probe)
{
    f.now += f.pool.settings().probe_interval;
    f.pool.probe(f.now);
    f.now += f.pool.settings().probe_timeout + from_ms(300);
    f.pool.probe(f.now);
    CHECK_FALSE(f.port.probes[0]->cancelled);
    f.port.answer_probes();
    CHECK(f.choose() != "none");
}

// A data centre without shards is cut off: its hosts use relays of other data
// centres only. Guards against hosts that stay in rotation there, and against a
// host that counts as cut off before its relays have been probed.
TEST(relay_pool, a_host_without_near_relays_is_cut_off_when_none_answers)
{
    relay_pool_fixture far;
    auto hosts = three_relays();
    for (auto& it : hosts) {
        it.data_centre = "b";
    }
    far.pool.set_relays(hosts, far.now);
    CHECK_FALSE(far.pool.cut_off());
    far.probe();
    CHECK_FALSE(far.pool.cut_off());
    far.now += far.pool.settings().probe_interval;
    far.pool.probe(far.now);
    far.port.answer_probes(relay_lost{});
    CHECK(far.pool.cut_off());
    far.now += far.pool.settings().probe_interval;
    far.probe();
    CHECK_FALSE(far.pool.cut_off());
}

// Guards against a host that counts as cut off while its relays restart one
// after the other: a relay that is leaving has answered.
TEST(relay_pool, leaving_relays_of_other_data_centres_do_not_mean_a_cut)
{
    relay_pool_fixture far;
    auto hosts = three_relays();
    for (auto& it : hosts) {
        it.data_centre = "b";
    }
    far.pool.set_relays(hosts, far.now);
    far.pool.probe(far.now);
    far.port.answer_probes(relay_refused{relay_refusal::leaving});
    CHECK_FALSE(far.pool.cut_off());
}
