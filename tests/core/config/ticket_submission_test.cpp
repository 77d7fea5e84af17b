#include "core/base/rng.hpp"
#include "core/config/fixtures.hpp"
#include "core/config/ticket_submission.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <optional>
#include <set>

using namespace snipemill;
using namespace snipemill::test;

namespace {

// The two objects of the platform, with conditional updates.
struct store
{
    head_and_state now;
    std::map<std::uint64_t, std::string> accepted; // nonce by number
    std::size_t largest_head = 0;

    bool put_head(write_head const& w)
    {
        if (w.if_version != now.head_version) {
            return false;
        }
        ++now.head_version;
        now.head = w.head;
        // One number is given once, and the head has no gap.
        auto const& newest = now.head.tickets.back();
        CHECK(accepted.emplace(newest.number, newest.nonce).second);
        CHECK(now.head.number == newest.number);
        CHECK(now.head.base + now.head.tickets.size() == now.head.number);
        CHECK(now.head.base <= now.state.number);
        largest_head = std::max(largest_head, now.head.tickets.size());
        return true;
    }
    bool put_state(write_state const& w)
    {
        if (w.if_version != now.state_version) {
            return false;
        }
        CHECK(w.state.number >= now.state.number);
        CHECK(w.state.number <= now.head.number);
        ++now.state_version;
        now.state = w.state;
        return true;
    }
};

// One submitter, whose steps a test interleaves with others.
class submitter
{
public:
    explicit submitter(ticket change, std::uint32_t attempts = 8)
        : submission_(std::move(change), attempts), step_(submission_.start())
    {}

    // Carries out one step. lost: the write takes effect, the answer is lost.
    void advance(store& s, bool fails = false, bool lost = false)
    {
        if (result()) {
            return;
        }
        if (std::holds_alternative<read_head_and_state>(step_)) {
            step_ = fails ? submission_.on_read_failed()
                          : submission_.on_read(s.now);
            return;
        }
        if (fails) {
            step_ = submission_.on_written(write_result::unavailable);
            return;
        }
        auto const* head = std::get_if<write_head>(&step_);
        auto const done = head != nullptr
                              ? s.put_head(*head)
                              : s.put_state(std::get<write_state>(step_));
        step_ = submission_.on_written(lost   ? write_result::unavailable
                                       : done ? write_result::written
                                              : write_result::conflict);
    }
    submission_result const* result() const
    {
        return std::get_if<submission_result>(&step_);
    }
    submission_result finish(store& s)
    {
        while (!result()) {
            advance(s);
        }
        return *result();
    }
    submission_step const& step() const { return step_; }

private:
    ticket_submission submission_;
    submission_step step_;
};

std::uint64_t accepted_number(submission_result const& r)
{
    auto const* a = std::get_if<ticket_accepted>(&r);
    return a == nullptr ? 0 : a->number;
}

} // namespace

TEST_GROUP(ticket_submission)
{
    store platform;

    submission_result submit(ticket t)
    {
        return submitter(std::move(t)).finish(platform);
    }
};

// Guards against a loser that is told that its ticket is in force.
TEST(ticket_submission, loser_of_a_race_gets_the_winner)
{
    submitter a(first_ticket("a"));
    submitter b(first_ticket("b"));
    a.advance(platform);
    b.advance(platform);
    LONGS_EQUAL(1, accepted_number(b.finish(platform)));
    auto const lost = a.finish(platform);
    auto const& conflict = std::get<ticket_conflict>(lost);
    LONGS_EQUAL(1, conflict.number);
    CHECK(conflict.winner.nonce == "b");
}

// Guards against a ticket that is refused though it is in force, or is
// accepted twice.
TEST(ticket_submission, lost_answer_is_resolved_by_nonce)
{
    for (std::uint64_t const number : {0U, 1U}) {
        platform = {};
        auto change = first_ticket("a");
        change.number = number;
        submitter a(change);
        a.advance(platform);
        a.advance(platform, false, true);
        LONGS_EQUAL(1, accepted_number(a.finish(platform)));
        LONGS_EQUAL(1, platform.accepted.size());
    }
}

// Guards against a second acceptance when an operator sends a ticket again,
// also after the head has been cut.
TEST(ticket_submission, resubmission_gives_the_first_number)
{
    auto again = first_ticket("a");
    again.number = 0;
    submit(again);
    for (std::uint64_t n = 2; n <= 80; ++n) {
        LONGS_EQUAL(n, accepted_number(
                           submit(next_ticket(n, "n" + std::to_string(n)))));
        LONGS_EQUAL(1, accepted_number(submit(again)));
        LONGS_EQUAL(1, accepted_number(submit(first_ticket("a"))));
    }
}

// Guards against a head that grows without end or loses tickets when cut.
TEST(ticket_submission, head_is_cut_after_the_state_is_written)
{
    submit(first_ticket());
    for (std::uint64_t n = 2; n <= 100; ++n) {
        submit(next_ticket(n, "n" + std::to_string(n)));
    }
    CHECK(platform.largest_head <= max_head_tickets);
    // Cuts of half the head need few writes of the state.
    CHECK(platform.now.state_version <= 100 / (max_head_tickets / 2));
    auto state = platform.now.state;
    for (auto const& it : platform.now.head.tickets) {
        if (it.number > state.number) {
            apply_ticket(state, it);
        }
    }
    CHECK(state.objects == snapshot_of(100).objects);
    LONGS_EQUAL(100, state.number);
}

// Guards against a head that exceeds the platform's largest value.
TEST(ticket_submission, large_tickets_cut_the_head_or_are_refused)
{
    submit(first_ticket());
    auto large = next_ticket(0, "large");
    large.reason = std::string(200 * 1024, 'x');
    for (int i = 0; i < 3; ++i) {
        large.nonce = "large" + std::to_string(i);
        submit(large);
        LONGS_EQUAL(1, i == 0 ? 1 : platform.now.head.tickets.size());
    }
    large.nonce = "too large";
    large.reason = std::string(700 * 1024, 'x');
    CHECK(std::holds_alternative<ticket_invalid>(submit(large)));
}

// Guards against a paused submitter that writes the state or head back.
TEST(ticket_submission, paused_submitter_changes_nothing)
{
    submit(first_ticket());
    for (std::uint64_t n = 2; n <= 32; ++n) {
        submit(next_ticket(n, "n" + std::to_string(n)));
    }
    submitter paused(next_ticket(33, "paused"));
    paused.advance(platform);
    CHECK(std::holds_alternative<write_state>(paused.step()));
    submit(next_ticket(33, "n33"));
    auto const before = platform.now;
    CHECK(std::holds_alternative<ticket_conflict>(paused.finish(platform)));
    CHECK(platform.now.head == before.head);
    CHECK(platform.now.state == before.state);
}

// Guards against "not accepted" being reported for a ticket whose write may
// still take effect.
TEST(ticket_submission, unclear_outcome_is_reported_as_unknown)
{
    submitter before(first_ticket());
    before.advance(platform, true);
    CHECK(!std::get<ticket_unavailable>(*before.result()).unknown);

    submitter after(first_ticket());
    after.advance(platform);
    after.advance(platform, false, true);
    after.advance(platform, true);
    CHECK(std::get<ticket_unavailable>(*after.result()).unknown);
}

// Guards against a ticket without a nonce, whose lost answer would be unclear.
TEST(ticket_submission, faulty_ticket_writes_nothing)
{
    CHECK(std::holds_alternative<ticket_invalid>(submit(first_ticket(""))));
    CHECK(std::holds_alternative<ticket_invalid>(submit(next_ticket(5, "x"))));
    LONGS_EQUAL(0, platform.now.head_version);
}

// Guards against two accepted tickets for one number, or one ticket with two
// numbers, when several operators race and answers are lost.
TEST(ticket_submission, racing_submissions_with_lost_answers)
{
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        rng random(seed);
        platform = {};
        submit(first_ticket());
        for (int round = 0; round < 15; ++round) {
            std::vector<submitter> all;
            std::vector<std::string> nonces;
            for (int i = 0; i < 4; ++i) {
                auto const nonce =
                    std::to_string(round) + "-" + std::to_string(i);
                auto const fixed = random.below(2) == 0;
                auto const next = platform.now.head.number + 1;
                nonces.push_back(nonce);
                all.emplace_back(next_ticket(fixed ? next : 0, nonce),
                                 1 + random.below(8));
            }
            for (int step = 0; step < 60; ++step) {
                all[random.below(4)].advance(platform, random.below(12) == 0,
                                             random.below(3) == 0);
            }
            for (std::size_t i = 0; i < 4; ++i) {
                auto const result = all[i].finish(platform);
                std::set<std::uint64_t> numbers;
                for (auto const& [number, nonce] : platform.accepted) {
                    if (nonce == nonces[i]) {
                        numbers.insert(number);
                    }
                }
                CHECK(numbers.size() <= 1);
                auto const* gone = std::get_if<ticket_unavailable>(&result);
                if (gone == nullptr || !gone->unknown) {
                    auto const number = accepted_number(result);
                    CHECK(numbers == (number == 0 ? std::set<std::uint64_t>()
                                                  : std::set{number}));
                }
            }
        }
    }
}
