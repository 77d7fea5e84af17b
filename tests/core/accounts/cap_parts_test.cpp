#include "core/accounts/cap_client.hpp"
#include "core/accounts/cap_owner.hpp"

#include <algorithm>
#include <map>
#include <set>

// Included after the standard headers: CppUTest defines a macro named new, with
// which these do not compile.
#include <CppUTest/TestHarness.h>

using namespace snipemill;

namespace {

constexpr auto t0 = time_point(from_ms(1'000'000));

std::vector<fleet_host> fleet(int data_centres, int each)
{
    std::vector<fleet_host> out;
    out.reserve(static_cast<std::size_t>(data_centres) * each);
    for (int i = 0; i < data_centres * each; ++i) {
        out.push_back({.name = "h" + std::to_string(i),
                       .data_centre = "d" + std::to_string(i % data_centres),
                       .ip = "192.0.2.1",
                       .relay_port = 7});
    }
    return out;
}

std::vector<client_account> accounts(int n, usage_cap cap)
{
    std::vector<client_account> out;
    out.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i) {
        out.push_back({.name = "a" + std::to_string(i), .cap = cap});
    }
    return out;
}

} // namespace

TEST_GROUP(usage_bucket){};

// Guards against callers that all return at once, and against times that drift
// hours ahead under a flood of refused requests.
TEST(usage_bucket, promises_successive_times_within_a_horizon)
{
    usage_bucket it({.rate = 2, .capacity = 3}, 3, t0);
    UNSIGNED_LONGS_EQUAL(3, it.take(5, t0));
    CHECK(it.room_at(t0) == t0 + from_ms(500));
    CHECK(it.promise(2, t0) == t0 + from_ms(500));
    CHECK(it.promise(1, t0) == t0 + from_ms(1500));
    for (int i = 0; i < 10'000; ++i) {
        auto const at = it.promise(10, t0);
        CHECK(at >= t0 + from_ms(500));
        CHECK(at <= t0 + from_ms(20'000));
    }
}

// Guards against tokens gained before the hold has ended.
TEST(usage_bucket, gains_nothing_before_its_start)
{
    usage_bucket it({.rate = 2, .capacity = 3}, 0, t0 + from_ms(1000));
    UNSIGNED_LONGS_EQUAL(0, it.take(1, t0 + from_ms(1400)));
    UNSIGNED_LONGS_EQUAL(1, it.take(1, t0 + from_ms(1500)));
}

// Guards against a lowered cap that leaves the old burst to be spent.
TEST(usage_bucket, keeps_its_tokens_up_to_the_new_burst)
{
    usage_bucket it({.rate = 2, .capacity = 30}, 20, t0);
    it.set_shape({.rate = 1, .capacity = 5}, t0);
    UNSIGNED_LONGS_EQUAL(5, it.take(30, t0));
    it.set_shape({.rate = 1, .capacity = 50}, t0);
    UNSIGNED_LONGS_EQUAL(0, it.take(30, t0));
}

TEST_GROUP(cap_plan){};

// Load: 500 accounts on 72 hosts. Guards against hosts that own most accounts,
// against a deputy that is lost with the owner, and against a join that moves
// accounts which the new host does not take.
TEST(cap_plan, spreads_accounts_and_moves_few)
{
    auto hosts = fleet(4, 18);
    auto const all = accounts(500, {.rate = 1});
    cap_plan const before(hosts, "d1", all);
    std::map<std::string, int> owned;
    for (auto const& [name, it] : before.all()) {
        ++owned[it.owner.name];
        CHECK(it.owner.name != it.deputy.name);
        STRCMP_EQUAL("d1", it.deputy.data_centre.c_str());
    }
    CHECK(owned.size() > 60);
    CHECK(std::all_of(owned.begin(), owned.end(),
                      [](auto const& it) { return it.second <= 20; }));
    UNSIGNED_LONGS_EQUAL(4, before.data_centres());
    hosts.push_back({.name = "new", .data_centre = "d0", .relay_port = 7});
    cap_plan const after(hosts, "d1", all);
    for (auto const& [name, it] : after.all()) {
        CHECK(it.owner.name == "new" ||
              it.owner.name == before.find(name)->owner.name);
    }
}

// Load: 500 accounts on 19 hosts in three data centres of unequal size. Guards
// against parts of the rate that are more than the whole, against an owner that
// is its own deputy, and against another deputy than that of the hosts there.
TEST(cap_plan, deputies_share_the_rate_without_the_owner)
{
    auto hosts = fleet(3, 6);
    hosts.push_back({.name = "x", .data_centre = "d0", .relay_port = 7});
    auto const all = accounts(500, {.rate = 1});
    cap_plan const it(hosts, "d1", all);
    for (auto const& [name, grantors] : it.all()) {
        double sum = 0;
        for (auto const& deputy : it.deputies(name)) {
            sum += deputy.share;
            CHECK(deputy.host.name != grantors.owner.name);
            cap_plan const there(hosts, deputy.host.data_centre,
                                 {{.name = name, .cap = {.rate = 1}}});
            CHECK(there.find(name)->deputy == deputy.host);
        }
        UNSIGNED_LONGS_EQUAL(3, it.deputies(name).size());
        DOUBLES_EQUAL(18.0 / 19, sum, 1e-9);
    }
}

// Guards against hosts that cannot be asked, and accounts without a limit.
TEST(cap_plan, needs_a_port_and_a_limit)
{
    auto hosts = fleet(1, 2);
    hosts[0].relay_port = 0;
    cap_plan const it(hosts, "d0",
                      {{.name = "a", .cap = {.rate = 1}}, {.name = "b"}});
    STRCMP_EQUAL("h1", it.find("a")->owner.name.c_str());
    CHECK(it.find("a")->deputy.name.empty());
    CHECK(it.find("b") == nullptr);
}

// The owner's bucket holds the burst of 4 and 0.4 of the tolerance of
// 0.1 * (2 * 5 + 4) + 20 requests: 12.56 in all.
TEST_GROUP(cap_owner)
{
    cap_plan plan{fleet(1, 1), "d0", accounts(1, {.rate = 2, .burst = 4})};
    cap_owner owner{{.host = "h0", .tolerance = {.slack = 20}}};
    std::uint64_t next = 1;

    void setup() override
    {
        owner.set_plan(plan, t0);
        owner.set_listed_until(t0 + from_ms(180'000));
    }

    cap_grant ask(duration at, std::uint32_t n = 1, std::string host = "h9")
    {
        return owner.respond({.account = "a0",
                              .host = std::move(host),
                              .number = next++,
                              .wanted = n},
                             t0 + at);
    }
};

// Guards against tokens taken twice by a request that was repeated.
TEST(cap_owner, repeats_its_response_to_a_repeated_request)
{
    auto const at = from_ms(20'000);
    auto const first = ask(at, 2);
    UNSIGNED_LONGS_EQUAL(2, first.granted);
    --next;
    CHECK(ask(at + from_ms(30), 2) == first);
    UNSIGNED_LONGS_EQUAL(10, ask(at + from_ms(30), 20).granted);
    // A number from before the last one is an old datagram.
    next -= 2;
    CHECK(ask(at + from_ms(40)).outcome == cap_outcome::not_owner);
}

// Guards against a full bucket at once after a start, and against a hold in
// which the account gets nothing.
TEST(cap_owner, a_new_owner_grants_from_the_tolerance_first)
{
    // The share is 0.4 of the tolerance, of which a quarter at once.
    UNSIGNED_LONGS_EQUAL(2, ask(duration(0), 100).granted);
    auto const held = ask(from_ms(1), 100);
    CHECK(held.outcome == cap_outcome::no_tolerance);
    // From the bucket, 0.5 s after the hold.
    UNSIGNED_LONGS_EQUAL(1, ask(from_ms(2000), 1).granted);
}

// Load: a refused account with callers at two hosts. Guards against promises of
// the same time at both.
TEST(cap_owner, promises_each_host_its_own_times)
{
    auto const at = from_ms(20'000);
    ask(at, 100);
    auto const a = ask(at, 3, "h1");
    auto const b = ask(at, 1, "h2");
    CHECK(a.outcome == cap_outcome::over_cap);
    // 0.44 of a token is missing.
    DOUBLES_EQUAL(220, to_ms(a.retry_after), 0.01);
    CHECK(a.interval == from_ms(500));
    CHECK(b.retry_after == a.retry_after + from_ms(1500));
}

// Guards against an owner that grants the cap although other hosts may have
// dropped its entry, and against a second bucket after that.
TEST(cap_owner, grants_from_the_tolerance_when_its_entry_has_lapsed)
{
    auto const at = from_ms(180'000);
    ask(at - from_ms(1), 100);
    auto const granted = ask(at + from_ms(10'000), 100).granted;
    CHECK(granted > 0 && granted <= 6); // its bucket would have 4 more
    CHECK(ask(at + from_ms(10'001), 100).outcome == cap_outcome::no_tolerance);
    owner.set_listed_until(t0 + from_ms(999'000));
    CHECK(ask(at + from_ms(10'002), 100).outcome == cap_outcome::no_tolerance);
}

// Guards against memory that grows with accounts and hosts that are idle.
TEST(cap_owner, evicts_idle_accounts)
{
    ask(from_ms(20'000), 4);
    UNSIGNED_LONGS_EQUAL(1, owner.accounts());
    owner.respond({.account = "other", .host = "h9", .number = 1, .wanted = 1},
                  t0 + from_ms(90'000));
    UNSIGNED_LONGS_EQUAL(0, owner.accounts());
    // Its bucket was full, and is when it is needed again.
    UNSIGNED_LONGS_EQUAL(12, ask(from_ms(90'000), 20).granted);
}

TEST_GROUP(cap_client)
{
    struct sent_request
    {
        std::string to;
        cap_request request;
    };
    std::vector<sent_request> sent;
    std::vector<cap_decision> decided;
    cap_client client{{.host = "asking", .tolerance = {.slack = 20}},
                      [this](fleet_host const& to, cap_request const& it) {
                          sent.push_back({to.name, it});
                      }};
    cap_plan plan{fleet(1, 2), "d0", accounts(1, {.rate = 2, .burst = 4})};
    std::string owner = plan.find("a0")->owner.name;
    std::string deputy = plan.find("a0")->deputy.name;

    void setup() override
    {
        client.set_plan(plan);
    }

    std::uint64_t admit(duration at, duration end = from_ms(900'000))
    {
        return client.admit("a0", t0 + end, t0 + at,
                            [this](auto const& it) { decided.push_back(it); });
    }

    void run_to(duration end)
    {
        while (client.next_timer() && *client.next_timer() <= t0 + end) {
            client.on_timer(*client.next_timer());
        }
    }

    void answer(std::size_t n, duration at, cap_grant it)
    {
        it.account = "a0";
        it.host = sent[n].to;
        it.number = sent[n].request.number;
        client.on_grant(it, t0 + at);
    }
};

// Load: a burst of one account at one host. Guards against a datagram for each
// request.
TEST(cap_client, requests_that_wait_share_a_cap_request)
{
    for (int i = 0; i < 4; ++i) {
        admit(from_ms(i));
    }
    UNSIGNED_LONGS_EQUAL(1, sent.size());
    answer(0, from_ms(5), {.granted = 1});
    UNSIGNED_LONGS_EQUAL(1, decided.size());
    UNSIGNED_LONGS_EQUAL(2, sent.size());
    UNSIGNED_LONGS_EQUAL(3, sent[1].request.wanted);
    answer(1, from_ms(10), {.granted = 3});
    UNSIGNED_LONGS_EQUAL(4, decided.size());
    CHECK(std::all_of(decided.begin(), decided.end(),
                      [](auto const& it) { return it.admitted(); }));
    UNSIGNED_LONGS_EQUAL(0, client.waiting());
}

// Guards against one lost datagram that costs the caller its response, and
// against a caller that waits for hosts that are gone.
TEST(cap_client, asks_again_then_the_deputy_then_gives_up)
{
    admit(duration(0));
    run_to(from_ms(30));
    UNSIGNED_LONGS_EQUAL(2, sent.size());
    CHECK(sent[1].request == sent[0].request);
    run_to(from_ms(60));
    UNSIGNED_LONGS_EQUAL(3, sent.size());
    STRCMP_EQUAL(deputy.c_str(), sent[2].to.c_str());
    CHECK(sent[2].request.as_deputy);
    run_to(from_ms(120));
    UNSIGNED_LONGS_EQUAL(1, decided.size());
    CHECK(decided[0].reason == cap_reason::no_response);
    CHECK(!decided[0].over_cap());
    CHECK(decided[0].retry_after > duration::zero());
}

// Guards against each request of a second paying for an owner that is gone.
TEST(cap_client, asks_the_deputy_first_for_a_second)
{
    admit(duration(0));
    run_to(from_ms(60));
    answer(2, from_ms(62), {.granted = 1});
    admit(from_ms(1059));
    STRCMP_EQUAL(deputy.c_str(), sent.back().to.c_str());
    answer(sent.size() - 1, from_ms(1059), {.granted = 1});
    admit(from_ms(1061));
    STRCMP_EQUAL(owner.c_str(), sent.back().to.c_str());
}

// Load: an owner without CPU time for longer than the repetition takes. Guards
// against its grant being lost because the deputy has been asked.
TEST(cap_client, takes_a_late_grant_of_the_owner)
{
    admit(duration(0));
    run_to(from_ms(60));
    answer(0, from_ms(70), {.granted = 1});
    UNSIGNED_LONGS_EQUAL(1, decided.size());
    CHECK(decided[0].admitted());
    CHECK(!client.next_timer());
}

TEST(cap_client, asks_the_deputy_of_a_host_that_denies_to_be_owner)
{
    admit(duration(0));
    answer(0, from_ms(4), {.outcome = cap_outcome::not_owner});
    STRCMP_EQUAL(deputy.c_str(), sent.back().to.c_str());
    answer(1, from_ms(8), {.outcome = cap_outcome::no_tolerance});
    CHECK(decided[0].reason == cap_reason::no_tolerance);
    CHECK(!decided[0].over_cap());
}

// Load: 200 callers of a refused account. Guards against a datagram for each,
// and against callers that are all told the same time.
TEST(cap_client, refuses_locally_with_times_of_their_own)
{
    admit(duration(0));
    admit(duration(0));
    cap_grant const refusal{.outcome = cap_outcome::over_cap,
                            .room_after = from_ms(400),
                            .retry_after = from_ms(400),
                            .interval = from_ms(50)};
    answer(0, from_ms(4), refusal);
    for (int i = 0; i < 200; ++i) {
        admit(from_ms(4));
    }
    UNSIGNED_LONGS_EQUAL(1, sent.size());
    UNSIGNED_LONGS_EQUAL(202, decided.size());
    std::set<duration> times;
    for (auto const& it : decided) {
        CHECK(it.over_cap());
        times.insert(it.retry_after);
    }
    UNSIGNED_LONGS_EQUAL(202, times.size());
    CHECK(*times.begin() == from_ms(400));
    admit(from_ms(404));
    UNSIGNED_LONGS_EQUAL(2, sent.size());
}

// Guards against a raised cap that takes effect only after the last refusal.
TEST(cap_client, a_new_cap_ends_a_refusal)
{
    admit(duration(0));
    answer(0, from_ms(4),
           {.outcome = cap_outcome::over_cap, .room_after = from_ms(9000)});
    client.set_plan({fleet(1, 2), "d0", accounts(1, {.rate = 9})});
    admit(from_ms(5));
    UNSIGNED_LONGS_EQUAL(2, sent.size());
}

// Guards against decisions for callers that are gone, whose deadline has passed
// or whose host stops, and against requests that wait forever.
TEST(cap_client, ends_the_wait_of_each_request)
{
    auto const gone = admit(duration(0));
    client.cancel("a0", gone);
    CHECK(!client.next_timer());
    admit(duration(0), from_ms(20));
    run_to(from_ms(20));
    UNSIGNED_LONGS_EQUAL(1, decided.size());
    CHECK(decided[0].reason == cap_reason::deadline);
    admit(from_ms(21));
    client.end_all();
    UNSIGNED_LONGS_EQUAL(2, decided.size());
    CHECK(decided[1].reason == cap_reason::stopping);
    UNSIGNED_LONGS_EQUAL(0, client.waiting());
    // The token that came too late serves the next request.
    answer(0, from_ms(30), {.granted = 1});
    admit(from_ms(31));
    UNSIGNED_LONGS_EQUAL(3, decided.size());
    CHECK(decided[2].admitted());
}

// Guards against accounts that are refused because a manifest has taken their
// limit away meanwhile.
TEST(cap_client, admits_accounts_without_a_limit)
{
    client.set_plan({});
    admit(duration(0));
    CHECK(decided[0].admitted());
    UNSIGNED_LONGS_EQUAL(0, sent.size());
}
