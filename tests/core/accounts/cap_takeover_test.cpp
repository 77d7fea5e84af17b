#include "core/accounts/cap_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::test;

namespace {

constexpr auto t0 = time_point(from_ms(1'000'000));

// Requests that ran within d.
std::size_t spent_in(cap_fleet& fleet, duration d)
{
    auto const before = fleet.spent().size();
    fleet.run_for(d);
    return fleet.spent().size() - before;
}

// Losses that make owner and deputies lose sight of one another: some one
// after the other, each for up to 6 s.
void inject(cap_fleet& fleet, std::uint64_t seed, int faults)
{
    rng random(seed);
    for (int n = 0; n < faults; ++n) {
        auto const i = random.below(16);
        auto const at = from_ms(2000 + random.below(14'000));
        auto const end = at + from_ms(20 + random.below(6000));
        switch (random.below(5)) {
        case 0:
            fleet.at(at, [&fleet] { fleet.kill(fleet.owner()); });
            fleet.at(end, [&fleet] { fleet.restart(fleet.owner()); });
            break;
        case 1:
            fleet.at(at, [&fleet, i] { fleet.cut(i % 3, true); });
            fleet.at(end, [&fleet, i] { fleet.cut(i % 3, false); });
            break;
        case 2:
            fleet.at(at, [&fleet, i] { fleet.mute(i % 3, true); });
            fleet.at(end, [&fleet, i] { fleet.mute(i % 3, false); });
            break;
        case 3:
            fleet.at(at, [&fleet, i] { fleet.join(i); });
            break;
        default:
            fleet.at(at, [&fleet, i, low = random.below(2)] {
                fleet.set_demand(low ? 4 : 150);
                fleet.freeze(i, from_ms(700));
            });
            break;
        }
    }
}

// Most requests in a window above the limit, over some cuts of a hot account.
double excess(cap_owner_settings const& owner)
{
    double out = -1e9;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        cap_fleet fleet({.seed = seed,
                         .account = "account" + std::to_string(seed),
                         .cap = {.rate = 60, .burst = 20},
                         .tolerance = {.slack = 0},
                         .demand = 600,
                         .owner = owner});
        fleet.run_for(from_ms(8000));
        fleet.cut(fleet.owner() % 3, true);
        fleet.run_for(from_ms(10'000));
        fleet.cut(fleet.owner() % 3, false);
        fleet.run_for(from_ms(6000));
        out = std::max(out, static_cast<double>(fleet.most_in_window()) -
                                fleet.limit());
    }
    return out;
}

} // namespace

// Two data centres of two hosts. The deputy beside the owner has a quarter of
// the rate of 8, the other one half of it.
TEST_GROUP(cap_contact)
{
    std::vector<fleet_host> hosts = four_hosts();
    std::vector<client_account> accounts{
        {.name = "acme", .cap = {.rate = 8, .burst = 8}}};
    cap_plan plan{hosts, "d0", accounts};
    std::string owner = plan.find("acme")->owner.name;
    std::string far = far_deputy();
    std::vector<cap_request> sent;
    std::vector<bool> takeovers;
    std::uint64_t next = 1;

    static std::vector<fleet_host> four_hosts()
    {
        std::vector<fleet_host> out;
        out.reserve(4);
        for (int i = 0; i < 4; ++i) {
            out.push_back({.name = "h" + std::to_string(i),
                           .data_centre = "d" + std::to_string(i % 2),
                           .ip = "192.0.2.1",
                           .relay_port = 7});
        }
        return out;
    }

    std::string far_deputy() const
    {
        for (auto const& it : plan.deputies("acme")) {
            if (it.host.data_centre != plan.find("acme")->owner.data_centre) {
                return it.host.name;
            }
        }
        return {};
    }

    std::string centre_of(std::string const& name) const
    {
        return std::find_if(hosts.begin(), hosts.end(),
                            [&](auto const& it) { return it.name == name; })
            ->data_centre;
    }

    std::unique_ptr<cap_owner> start(std::string const& name)
    {
        auto out = std::make_unique<cap_owner>(
            cap_owner_settings{.host = name, .tolerance = {.overage = 0.01}},
            [this](fleet_host const&, cap_request const& it) {
                sent.push_back(it);
            },
            [this](std::string const&, std::string const& of, bool begins) {
                STRCMP_EQUAL(owner.c_str(), of.c_str());
                takeovers.push_back(begins);
            });
        out->set_plan(cap_plan(hosts, centre_of(name), accounts), t0);
        return out;
    }

    cap_grant ask(cap_owner & it, duration at, std::uint32_t n, bool as_deputy,
                  std::string from = "h9")
    {
        return it.respond({.account = "acme",
                           .host = std::move(from),
                           .number = next++,
                           .wanted = n,
                           .as_deputy = as_deputy},
                          t0 + at);
    }
};

// Guards against a contact message that takes tokens, and against answers of
// hosts that do not have the role, or to an owner of another list.
TEST(cap_contact, is_answered_by_the_role_and_grants_nothing)
{
    auto const at = from_ms(20'000);
    auto const it = start(owner);
    CHECK(ask(*it, at, 0, false).outcome == cap_outcome::contact);
    CHECK(ask(*it, at, 0, true).outcome == cap_outcome::not_owner);
    UNSIGNED_LONGS_EQUAL(0, it->granted_as_owner());
    CHECK(ask(*start(owner), from_ms(1499), 0, false).outcome ==
          cap_outcome::not_owner); // within the hold
    auto const deputy = start(far);
    CHECK(ask(*deputy, at, 0, true, owner).outcome == cap_outcome::contact);
    CHECK(ask(*deputy, at, 0, true).outcome == cap_outcome::not_owner);
    CHECK(ask(*deputy, at, 0, false, owner).outcome == cap_outcome::not_owner);
    UNSIGNED_LONGS_EQUAL(0, sent.size());
}

// Guards against an owner that uses the whole burst before the deputies have
// answered, and against tokens that are lost when they answer at once. Its
// bucket holds the burst and 0.19; its own part is a quarter.
TEST(cap_contact, tokens_set_aside_return_with_the_answers)
{
    auto const at = from_ms(20'000);
    auto const it = start(owner);
    UNSIGNED_LONGS_EQUAL(2, ask(*it, at, 20, false).granted);
    UNSIGNED_LONGS_EQUAL(2, sent.size());
    for (auto const& message : sent) {
        UNSIGNED_LONGS_EQUAL(0, message.wanted);
        CHECK(message.as_deputy);
    }
    auto const refused = ask(*it, at + from_ms(1), 20, false);
    CHECK(refused.outcome == cap_outcome::over_cap);
    CHECK(refused.room_after <= from_ms(50));
    auto const deputies = plan.deputies("acme");
    for (std::size_t i = 0; i < 2; ++i) {
        it->on_contact({.account = "acme",
                        .host = deputies[i].host.name,
                        .number = sent[i].number,
                        .outcome = cap_outcome::contact},
                       t0 + at + from_ms(5));
    }
    UNSIGNED_LONGS_EQUAL(6, ask(*it, at + from_ms(5), 20, false).granted);
}

// Guards against both spending their part of the burst: a deputy that took over
// before the owner reached it has spent its own.
TEST(cap_contact, tokens_of_a_deputy_that_took_over_do_not_return)
{
    auto const at = from_ms(20'000);
    auto const it = start(owner);
    UNSIGNED_LONGS_EQUAL(2, ask(*it, at, 20, false).granted);
    auto const deputies = plan.deputies("acme");
    for (std::size_t i = 0; i < 2; ++i) {
        it->on_contact({.account = "acme",
                        .host = deputies[i].host.name,
                        .number = sent[i].number,
                        .outcome = cap_outcome::contact,
                        .room_after = from_ms(5000)},
                       t0 + at + from_ms(5));
    }
    UNSIGNED_LONGS_EQUAL(0, ask(*it, at + from_ms(5), 20, false).granted);
}

// Guards against answers that count from their arrival: the deputy's silence
// may have begun before.
TEST(cap_contact, an_answer_counts_from_the_sending_of_its_message)
{
    auto const at = from_ms(20'000);
    auto const it = start(owner);
    ask(*it, at, 20, false);
    auto const deputies = plan.deputies("acme");
    for (std::size_t i = 0; i < 2; ++i) {
        it->on_contact({.account = "acme",
                        .host = deputies[i].host.name,
                        .number = sent[i].number,
                        .outcome = cap_outcome::contact},
                       t0 + at + from_ms(900));
    }
    ask(*it, at + from_ms(999), 20, false); // empties the bucket
    // A quarter of the rate of 8 from 1.0 s on.
    UNSIGNED_LONGS_EQUAL(0, ask(*it, at + from_ms(1001), 20, false).granted);
    UNSIGNED_LONGS_EQUAL(2, ask(*it, at + from_ms(2001), 20, false).granted);
}

// Guards against a deputy that takes over before the owner withholds, begins
// with tokens, goes on when the owner is back, or refuses without saying when
// there is room.
TEST(cap_contact, a_deputy_takes_over_from_a_silent_owner_only)
{
    auto const it = start(far);
    auto const at = from_ms(20'000);
    auto granted = std::uint32_t{0};
    for (auto ms = 0; ms < 1500; ms += 50) {
        granted += ask(*it, at + from_ms(ms), 20, true).granted;
    }
    CHECK(granted <= 1); // of the tolerance
    UNSIGNED_LONGS_EQUAL(6, sent.size());
    CHECK(takeovers.empty());
    auto const first = ask(*it, at + from_ms(1500), 20, true);
    CHECK(first.outcome == cap_outcome::over_cap);
    CHECK(first.room_after == from_ms(250)); // half of the rate of 8
    CHECK(takeovers == std::vector<bool>{true});
    UNSIGNED_LONGS_EQUAL(2, ask(*it, at + from_ms(2000), 20, true).granted);
    UNSIGNED_LONGS_EQUAL(2, it->granted_in_takeover());
    auto const heard =
        ask(*it, at + from_ms(2400), 0, true, owner); // a contact message
    CHECK(heard.outcome == cap_outcome::contact);
    CHECK(heard.room_after > duration::zero());
    CHECK(takeovers == (std::vector<bool>{true, false}));
    CHECK(ask(*it, at + from_ms(2500), 20, true).outcome ==
          cap_outcome::no_tolerance);
}

TEST_GROUP(cap_takeover){};

// Load: the owner of a hot account ends for 12 s and stays in the list. Guards
// against an account that gets only the tolerance until its owner is back.
TEST(cap_takeover, a_dead_owner_leaves_half_of_the_cap_at_least)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        cap_fleet fleet(
            {.seed = seed, .account = "account" + std::to_string(seed)});
        fleet.run_for(from_ms(8000));
        auto const owner = fleet.owner();
        fleet.kill(owner);
        fleet.run_for(from_ms(3000));
        CHECK(spent_in(fleet, from_ms(9000)) >= 90); // of 180
        fleet.restart(owner);
        fleet.run_for(from_ms(3000));
        CHECK(spent_in(fleet, from_ms(10'000)) >= 180); // of 200
        CHECK(fleet.most_in_window() <= fleet.limit());
    }
}

// Load: the data centre of the owner is cut off, a third of the hosts, and
// comes back. Guards against one side that gets only the tolerance, and
// against both sides granting the same part.
TEST(cap_takeover, a_cut_divides_the_cap_by_data_centre)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        cap_fleet fleet(
            {.seed = seed, .account = "account" + std::to_string(seed)});
        fleet.run_for(from_ms(8000));
        auto const centre = fleet.owner() % 3;
        fleet.cut(centre, true);
        fleet.run_for(from_ms(3000));
        CHECK(spent_in(fleet, from_ms(9000)) >= 135); // of 180
        fleet.cut(centre, false);
        fleet.run_for(from_ms(3000));
        CHECK(spent_in(fleet, from_ms(10'000)) >= 180); // of 200
        CHECK(fleet.most_in_window() <= fleet.limit());
    }
}

// Load: another data centre than the owner's is cut off.
TEST(cap_takeover, a_data_centre_that_is_cut_off_grants_its_part)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        cap_fleet fleet(
            {.seed = seed, .account = "account" + std::to_string(seed)});
        fleet.run_for(from_ms(8000));
        fleet.cut((fleet.owner() + 1) % 3, true);
        fleet.run_for(from_ms(3000));
        CHECK(spent_in(fleet, from_ms(9000)) >= 135); // of 180
        CHECK(fleet.most_in_window() <= fleet.limit());
    }
}

// Load: messages of the owner's data centre, or of another, arrive nowhere
// else. Guards against an owner that takes the messages of a deputy for
// answers, and against a deputy that takes over from an owner that it hears.
TEST(cap_takeover, a_loss_in_one_direction_stays_within_the_limit)
{
    for (std::uint32_t n = 0; n < 12; ++n) {
        cap_fleet fleet(
            {.seed = n + 1, .account = "account" + std::to_string(n)});
        fleet.run_for(from_ms(8000));
        auto const centre = n % 3;
        fleet.mute(centre, true);
        fleet.run_for(from_ms(12'000));
        fleet.mute(centre, false);
        fleet.run_for(from_ms(6000));
        CHECK(fleet.most_in_window() <= fleet.limit());
    }
}

// Load: a hot account whose owner is cut off together with a third of the
// hosts. Shows that the limit rests on the part that the owner withholds.
TEST(cap_takeover, without_the_withholding_both_sides_grant_the_same_part)
{
    CHECK(excess({}) <= 0);
    CHECK(excess({.contact_valid = {}}) > 0);
}

// Load: an account asks for a fifth of its cap during a cut, so that the
// buckets on both sides are full, and then for 25 times its cap. Guards against
// a burst at the owner and another one at the deputies.
TEST(cap_takeover, both_sides_of_a_cut_hold_one_burst_together)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        cap_fleet fleet({.seed = seed,
                         .account = "account" + std::to_string(seed),
                         .cap = {.rate = 60, .burst = 300},
                         .demand = 12});
        fleet.run_for(from_ms(10'000));
        fleet.cut(fleet.owner() % 3, true);
        fleet.run_for(from_ms(12'000));
        fleet.set_demand(1500);
        fleet.run_for(from_ms(8000));
        CHECK(fleet.most_in_window() <= fleet.limit());
    }
}

// Load: an account at six times its cap, or nearly idle. Guards against sums
// above the stated limit when owner and deputies lose sight of one another.
TEST(cap_takeover, the_sum_stays_within_the_stated_limit)
{
    CHECK(rc::check([] {
        auto const seed = *rc::gen::arbitrary<std::uint64_t>();
        cap_fleet fleet({.seed = seed,
                         .account = "account" + std::to_string(seed % 50),
                         .loss = 0.02,
                         .repeated = 0.05,
                         .longest_delay = from_ms(60)});
        inject(fleet, seed, *rc::gen::inRange(0, 8));
        fleet.run_for(from_ms(24'000));
        RC_ASSERT(fleet.most_in_window() <= fleet.limit());
    }));
}

// Load: a burst that is large beside the tolerance. Guards against full buckets
// at the owner and at the deputies at once.
TEST(cap_takeover, the_sum_stays_within_the_limit_of_a_large_burst)
{
    CHECK(rc::check([] {
        auto const seed = *rc::gen::arbitrary<std::uint64_t>();
        cap_fleet fleet({.seed = seed,
                         .account = "account" + std::to_string(seed % 50),
                         .cap = {.rate = 2, .burst = 60},
                         .tolerance = {.slack = 0},
                         .loss = 0.02,
                         .repeated = 0.05,
                         .longest_delay = from_ms(60)});
        fleet.set_demand(1); // until the bucket is full
        fleet.run_for(from_ms(35'000));
        fleet.set_demand(120);
        inject(fleet, seed, *rc::gen::inRange(0, 8));
        fleet.run_for(from_ms(24'000));
        RC_ASSERT(fleet.most_in_window() <= fleet.limit());
    }));
}
