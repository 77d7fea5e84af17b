#include "adapters/codec/generators.hpp"
#include "peer.pb.h"

#include <CppUTest/TestHarness.h>

using namespace snipemill;

namespace {

// Encodes and decodes; also decodes every shorter prefix, which must not
// crash.
template <class T, class Decode>
T round_trip(T const& m, Decode decode)
{
    auto const time = gen::stamp();
    auto const wire = encode(time, m);
    auto const cut = *rc::gen::inRange<std::size_t>(0, wire.size() + 1);
    decode(std::string_view(wire).substr(0, cut));
    auto const back = decode(wire);
    RC_ASSERT(back.has_value());
    RC_ASSERT(back->time == time);
    return back->message;
}

query_batch batch()
{
    return {.id = gen::id<request_id>(),
            .group = gen::text(),
            .version = gen::id<index_version>(),
            .remaining = gen::time(),
            .flush_after = gen::time(),
            .body = gen::bytes(),
            .limit = gen::any<std::uint32_t>(),
            .order = gen::choice(sort_order_names),
            .priority = gen::any<std::uint32_t>(),
            .print = gen::id<fingerprint>(),
            .hedge = gen::any<bool>(),
            .retry = gen::any<bool>(),
            .targets = gen::list(gen::id<upstream_id>)};
}

submit_outcome outcome()
{
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
        return submit_answered{*rc::gen::inRange(200U, 600U), gen::bytes()};
    case 1:
        return submit_not_run{gen::choice(errc_names)};
    default:
        return submit_unknown{gen::choice(errc_names)};
    }
}

probe_packet packet(time_point now)
{
    probe_packet p{
        .time = gen::stamp(),
        .message = {.kind = static_cast<probe_kind>(*rc::gen::inRange(0, 3)),
                    .sequence = gen::any<std::uint64_t>(),
                    .from = gen::member(),
                    .target = gen::id<host_id>(),
                    .config_number = gen::any<std::uint64_t>(),
                    .updates = gen::list(gen::member)}};
    p.crashes = gen::list([&] {
        return crash_record{gen::id<fingerprint>(),
                            {upstream_id(1), upstream_id(7)},
                            now - from_ms(*rc::gen::inRange(0, 600'000)),
                            gen::any<bool>(),
                            *rc::gen::inRange(0U, 1000U)};
    });
    return p;
}

} // namespace

TEST_GROUP(peer_codec){};

// Guards against a field that is lost or changed between two hosts.
TEST(peer_codec, query_messages_round_trip)
{
    CHECK(rc::check([] {
        auto const b = batch();
        RC_ASSERT(round_trip(b, decode_query_batch) == b);
        query_part const p{gen::id<request_id>(), gen::id<index_version>(),
                           gen::list(gen::some_record), gen::list(gen::result),
                           gen::any<bool>()};
        RC_ASSERT(round_trip(p, decode_query_part) == p);
    }));
}

// Guards against a field that is lost or changed between two hosts.
TEST(peer_codec, cancel_and_describe_messages_round_trip)
{
    CHECK(rc::check([] {
        cancel_request const c{gen::id<request_id>(),
                               gen::list(gen::id<upstream_id>)};
        RC_ASSERT(round_trip(c, decode_cancel) == c);
        describe_request const d{c.id, c.targets};
        RC_ASSERT(round_trip(d, decode_describe_request) == d);
        auto const held = [] {
            return held_version{gen::id<index_version>(),
                                gen::any<std::uint32_t>(),
                                gen::list(gen::partition)};
        };
        describe_answer const a{gen::id<request_id>(), gen::list([&] {
                                    return upstream_description{
                                        gen::id<upstream_id>(),
                                        gen::choice(upstream_condition_names),
                                        gen::list(held)};
                                })};
        RC_ASSERT(round_trip(a, decode_describe_answer) == a);
    }));
}

// Guards against a submit whose outcome changes on the way back.
TEST(peer_codec, submit_messages_round_trip)
{
    CHECK(rc::check([] {
        submit_forward const f{gen::id<request_id>(),  gen::text(),
                               gen::bytes(),           gen::bytes(),
                               gen::id<upstream_id>(), gen::time(),
                               gen::id<fingerprint>()};
        RC_ASSERT(round_trip(f, decode_submit_forward) == f);
        submit_result const r{gen::id<request_id>(), outcome()};
        RC_ASSERT(round_trip(r, decode_submit_result) == r);
    }));
}

// Guards against a configuration that differs after a transfer.
TEST(peer_codec, config_messages_round_trip)
{
    CHECK(rc::check([] {
        config_pull_request const q{gen::any<std::uint64_t>(),
                                    gen::any<std::uint64_t>(),
                                    gen::id<host_id>()};
        RC_ASSERT(round_trip(q, decode_config_pull) == q);
        config_push_answer a{gen::snapshot(), gen::any<std::uint64_t>(),
                             gen::list(gen::member)};
        RC_ASSERT(round_trip(a, decode_config_push) == a);
        a.push = gen::tickets(*rc::gen::inRange(0U, 1000U));
        RC_ASSERT(round_trip(a, decode_config_push) == a);
    }));
}

// Guards against a refused pull that counts as an answer without tickets.
TEST(peer_codec, empty_message_is_no_config_answer)
{
    CHECK(!decode_config_push(""));
}

// Guards against a probe that misreports a member or a crash record.
TEST(peer_codec, probe_round_trips)
{
    CHECK(rc::check([] {
        time_point const now(from_ms(1'000'000'000));
        auto const p = packet(now);
        auto const back = decode_probe(now, encode(now, p));
        RC_ASSERT(back.has_value());
        RC_ASSERT(back->time == p.time);
        RC_ASSERT(back->message == p.message);
        RC_ASSERT(back->crashes == p.crashes);
    }));
}

// Guards against a limiter state that changes in a handover.
TEST(peer_codec, handover_round_trips)
{
    upstream_gauge const g{upstream_id(4), upstream_condition::warm, 2, 1, 3,
                           from_ms(12)};
    auto const back = decode_handover(
        encode(hybrid_time{5, 6}, handover_message{host_id("a"), {g}}));
    CHECK(back.has_value());
    CHECK(back->message.from == host_id("a"));
    CHECK(back->message.upstreams.size() == 1);
    auto const& it = back->message.upstreams.front();
    CHECK(it.upstream == g.upstream && it.condition == g.condition);
    CHECK(it.limit == 2 && it.in_flight == 1 && it.queued == 3);
    CHECK(it.latency_quantile == g.latency_quantile);
}

// Guards against a crash of the decoder on bytes of a hostile sender.
TEST(peer_codec, arbitrary_bytes_do_not_crash)
{
    CHECK(rc::check([](std::string const& bytes) {
        decode_query_batch(bytes);
        decode_query_part(bytes);
        decode_describe_answer(bytes);
        decode_submit_result(bytes);
        decode_config_push(bytes);
        decode_handover(bytes);
        decode_probe(time_point(), bytes);
    }));
}

// Guards against values that the core has no name for.
TEST(peer_codec, values_out_of_range_are_refused)
{
    wire::QueryBatch batch;
    CHECK(decode_query_batch(batch.SerializeAsString()).has_value());
    batch.set_order(2);
    CHECK(!decode_query_batch(batch.SerializeAsString()).has_value());
    batch.set_order(0);
    batch.set_remaining_us(UINT64_MAX);
    CHECK(!decode_query_batch(batch.SerializeAsString()).has_value());

    wire::QueryPart part;
    part.add_results()->set_outcome(14);
    CHECK(!decode_query_part(part.SerializeAsString()).has_value());
    part.clear_results();
    part.add_records()->set_rank(std::numeric_limits<double>::quiet_NaN());
    CHECK(!decode_query_part(part.SerializeAsString()).has_value());

    wire::SubmitResult result;
    CHECK(!decode_submit_result(result.SerializeAsString()).has_value());
    result.set_not_run(errc_names.size());
    CHECK(!decode_submit_result(result.SerializeAsString()).has_value());

    wire::Probe probe;
    probe.mutable_from()->set_peer_port(65'536);
    CHECK(!decode_probe(time_point(), probe.SerializeAsString()).has_value());
}

// Guards against adopting tickets with a gap, which would lose a change.
TEST(peer_codec, tickets_with_a_gap_are_refused)
{
    wire::ConfigPush push;
    push.add_tickets()->set_number(4);
    push.add_tickets()->set_number(6);
    CHECK(!decode_config_push(push.SerializeAsString()).has_value());
}
