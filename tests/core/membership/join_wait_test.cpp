#include "core/membership/join_wait.hpp"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace snipemill;

namespace {

constexpr time_point begin{from_ms(1000)};

member_seed seed(std::uint16_t number)
{
    return {.ip = "10.0.0.1", .port = number};
}

member_info host(std::uint16_t number)
{
    return {.id = host_id("h" + std::to_string(number)),
            .data_centre = "dc",
            .ip = "10.0.0.1",
            .peer_port = number,
            .operator_port = 1,
            .incarnation = 1};
}

std::vector<send_probe> probes(member_actions const& all)
{
    std::vector<send_probe> out;
    for (auto const& it : all) {
        if (auto const* probe = std::get_if<send_probe>(&it)) {
            out.push_back(*probe);
        }
    }
    return out;
}

// An answer to a probe of a host that starts.
probe_message answer(send_probe const& to)
{
    return {.kind = probe_kind::ack,
            .sequence = to.message.sequence,
            .from = host(to.port)};
}

} // namespace

TEST_GROUP(join_wait)
{
    join_settings settings;
    join_wait wait{settings};
};

// Guards against a host that is ready with what one of its seeds knows, which
// is little when that seed has just started as well.
TEST(join_wait, every_asked_seed_is_awaited)
{
    CHECK(wait.ask(begin, seed(1)));
    CHECK(wait.ask(begin, seed(2)));
    wait.on_list_ended();
    CHECK(!wait.over(begin));
    wait.on_answer(seed(2));
    CHECK(!wait.over(begin));
    wait.on_answer(seed(1));
    CHECK(wait.over(begin));
}

// Guards against a host that is never ready because a seed is down, and
// against one that a pause keeps from reading the answers.
TEST(join_wait, silent_seeds_are_awaited_for_a_bounded_time)
{
    wait.ask(begin, seed(1));
    wait.on_list_ended();
    CHECK(!wait.over(begin + settings.answer_time - from_ms(1)));
    CHECK(wait.over(begin + settings.answer_time));
    wait.extend(from_ms(700));
    CHECK(!wait.over(begin + settings.answer_time));
    CHECK(wait.over(begin + settings.answer_time + from_ms(700)));
}

// Guards against a readiness that each newly named host puts off.
TEST(join_wait, hosts_found_later_do_not_put_the_end_off_for_long)
{
    for (std::uint16_t i = 1; i <= 10; ++i) {
        CHECK(wait.ask(begin + from_ms(1000) * (i - 1), seed(i)));
    }
    wait.on_list_ended();
    CHECK(wait.over(begin + 2 * settings.answer_time));
}

// Guards against a host without seeds in its settings that does not wait for
// those that the platform lists, and against a single host that waits.
TEST(join_wait, without_an_answer_the_list_is_awaited)
{
    CHECK(!wait.over(begin));
    wait.on_list_ended();
    CHECK(wait.over(begin));
}

// Guards against a slow platform that delays a host whose peers answer.
TEST(join_wait, with_an_answer_the_list_is_not_awaited)
{
    wait.ask(begin, seed(1));
    wait.on_answer(seed(1));
    CHECK(wait.over(begin));
}

// Guards against a start whose cost grows with the fleet.
TEST(join_wait, few_seeds_are_asked_and_each_once)
{
    std::set<std::uint16_t> asked;
    for (std::uint16_t round = 0; round < 2; ++round) {
        for (std::uint16_t i = 1; i <= 100; ++i) {
            if (wait.ask(begin, seed(i))) {
                CHECK(asked.insert(i).second);
            }
        }
    }
    LONGS_EQUAL(settings.max_asked, asked.size());
}

TEST_GROUP(join){};

// Guards against a member list that asks one seed per interval, so that a
// start takes as many seconds as there are seeds that are down.
TEST(join, seeds_are_asked_at_once_and_those_of_the_list_too)
{
    member_list list({}, host(9), 1);
    list.set_seeds({seed(1), seed(9)});
    member_actions out;
    list.join(begin, false, out);
    auto const first = probes(out);
    LONGS_EQUAL(1, first.size()); // not itself
    list.set_seeds({seed(1), seed(2), seed(3)});
    out.clear();
    list.join(begin, true, out);
    auto const second = probes(out);
    LONGS_EQUAL(2, second.size());
    for (auto const& it : {first[0], second[0], second[1]}) {
        CHECK(!list.joined(begin));
        list.on_message(begin, answer(it), out);
    }
    CHECK(list.joined(begin));
}

// Guards against a host that knows only as many members as one answer names.
TEST(join, hosts_that_an_answer_names_are_asked_until_it_has_joined)
{
    member_list list({}, host(9), 1);
    list.set_seeds({seed(1)});
    member_actions out;
    list.join(begin, true, out);
    auto first = answer(probes(out).front());
    first.updates = {host(2), host(3)};
    out.clear();
    list.on_message(begin, first, out);
    auto const second = probes(out);
    LONGS_EQUAL(2, second.size());
    for (auto const& it : second) {
        CHECK(!list.joined(begin));
        out.clear();
        list.on_message(begin, answer(it), out);
    }
    CHECK(list.joined(begin));
    auto later = answer(second.front());
    later.updates = {host(4)};
    list.on_message(begin, later, out);
    LONGS_EQUAL(0, probes(out).size());
    CHECK(list.joined(begin));
}

// Guards against a host that takes an announcement, which tells of no other
// member, for the answer to its question.
TEST(join, announcement_is_no_answer)
{
    member_list list({}, host(9), 1);
    list.set_seeds({seed(1)});
    member_actions out;
    list.join(begin, false, out);
    auto const asked = probes(out).front();
    list.on_message(begin, {.kind = probe_kind::ack, .from = host(1)}, out);
    CHECK(!list.joined(begin));
    list.on_message(begin, answer(asked), out);
    CHECK(list.joined(begin));
}
