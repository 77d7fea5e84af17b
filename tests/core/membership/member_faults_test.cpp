#include "core/membership/fault_plan.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::test;

namespace {

constexpr int data_centres = 3;
constexpr int hosts_each = 4;
constexpr duration step = from_ms(100);

// The remote suspicion and several low-rate probes of each host.
constexpr duration recovery = from_ms(120'000);

// A probe that was lost just before the end of the faults leads to a suspicion
// that is refuted within a few intervals.
constexpr duration settling = from_ms(10'000);

// Nobody but a member itself raises its incarnation.
bool incarnations_are_the_members_own(fleet& f)
{
    for (auto const& a : f.hosts()) {
        for (auto const& known : a.list->members()) {
            for (auto const& b : f.hosts()) {
                if (b.info.id == known.id &&
                    known.incarnation > b.list->self().incarnation) {
                    return false;
                }
            }
        }
    }
    return true;
}

} // namespace

TEST_GROUP(member_faults){};

// Guards against a plan that has single faults only, or faults one after the
// other.
TEST(member_faults, every_kind_occurs_twice_at_the_same_time)
{
    CHECK(rc::check([] {
        auto const plan = *fault_plans(data_centres * hosts_each);
        for (auto const kind :
             {fault_kind::loss, fault_kind::pause, fault_kind::death,
              fault_kind::restart, fault_kind::partition}) {
            RC_ASSERT(occurs_twice(plan, kind));
        }
    }));
}

// Guards against hosts that disagree for good, or whose list changes without a
// cause, after losses, pauses, deaths, restarts and partitions that each occur
// twice and at the same time; and against an incarnation that another host has
// raised.
TEST(member_faults, hosts_agree_after_faults_twice_and_together)
{
    CHECK(rc::check([] {
        auto const plan = *fault_plans(data_centres * hosts_each);
        fleet f(plan.seed, data_centres, hosts_each);
        RC_ASSERT(f.run_until_agreed(from_ms(30'000)));
        fault_driver faults(plan, f);
        while (!faults.done()) {
            faults.apply();
            f.run_for(step);
            RC_ASSERT(incarnations_are_the_members_own(f));
        }
        faults.apply();
        f.run_for(settling);
        RC_ASSERT(f.run_until_agreed(recovery));
        for (auto at = duration{}; at < from_ms(30'000); at += step) {
            f.run_for(step);
            RC_ASSERT(f.agree());
        }
        for (auto const& it : f.hosts()) {
            RC_ASSERT(it.largest <= f.settings.max_updates);
        }
    }));
}
