#include "adapters/codec/relay_codec.hpp"
#include "generators.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace snipemill;

TEST_GROUP(relay_codec){};

// Guards against a request that reaches upstreams with other bytes than the
// caller sent.
TEST(relay_codec, queries_arrive_unchanged)
{
    CHECK(rc::check([] {
        relay_query const out{
            .route = gen::name(),
            .fingerprint = gen::any<std::uint64_t>(),
            .elapsed = gen::time(),
            .left = gen::time(),
            .attempts = *rc::gen::inRange(1U, 9U),
            .request = std::make_shared<forward_request const>(forward_request{
                .id = gen::bytes(),
                .method = gen::bytes(),
                .target = gen::bytes(),
                .text = gen::bytes(),
                .body = gen::bytes(),
                .print = fingerprint(gen::any<std::uint64_t>())})};
        auto const in = decode_relay_query(encode(out));
        RC_ASSERT(in.has_value());
        RC_ASSERT(in->route == out.route);
        RC_ASSERT(in->fingerprint == out.fingerprint);
        RC_ASSERT(in->elapsed == out.elapsed);
        RC_ASSERT(in->left == out.left);
        RC_ASSERT(in->attempts == out.attempts);
        RC_ASSERT(in->request->id == out.request->id);
        RC_ASSERT(in->request->method == out.request->method);
        RC_ASSERT(in->request->target == out.request->target);
        RC_ASSERT(in->request->text == out.request->text);
        RC_ASSERT(in->request->body == out.request->body);
        RC_ASSERT(in->request->print == out.request->print);
    }));
}

// Guards against answers whose proofs or number of missing parts change on
// the way.
TEST(relay_codec, merged_answers_arrive_unchanged)
{
    CHECK(rc::check([] {
        merged_answer const merged{.body = gen::bytes(),
                                   .stamps =
                                       gen::list([] { return gen::bytes(); }),
                                   .missing = gen::any<std::uint32_t>()};
        auto const event =
            decode_relay_event(encode(relay_answer{.answer = merged}));
        RC_ASSERT(event.has_value());
        auto const* const in = std::get_if<relay_answer>(&*event);
        RC_ASSERT(in != nullptr);
        auto const& answer = std::get<merged_answer>(in->answer);
        RC_ASSERT(answer.body == merged.body);
        RC_ASSERT(answer.stamps == merged.stamps);
        RC_ASSERT(answer.missing == merged.missing);
    }));
}

// Guards against a refusal that promises more than the relay said.
TEST(relay_codec, refusals_keep_what_is_known_of_the_run)
{
    for (auto const& [state, name] : run_state_names) {
        error_answer const refused{.status = 503,
                                   .reason = {.code = errc::upstream_shed,
                                              .run = state,
                                              .detail = "full"},
                                   .retry_after = from_ms(40)};
        auto const event = decode_relay_event(encode(
            relay_answer{.answer = refused, .summary = {.attempt_count = 7}}));
        auto const& in = std::get<relay_answer>(*event);
        auto const& answer = std::get<error_answer>(in.answer);
        CHECK(answer.reason == refused.reason);
        CHECK(answer.retry_after == refused.retry_after);
        UNSIGNED_LONGS_EQUAL(7, in.summary.attempt_count);
    }
    auto const event =
        decode_relay_event(encode(relay_refused{relay_refusal::busy}));
    CHECK(std::get<relay_refused>(*event).reason == relay_refusal::busy);
    CHECK(std::holds_alternative<relay_accepted>(
        *decode_relay_event(encode(relay_accepted{}))));
}

// Guards against a peer that makes the host read what is not there.
TEST(relay_codec, malformed_bytes_are_refused)
{
    CHECK(rc::check([] {
        auto const bytes = gen::bytes();
        (void)decode_relay_query(bytes);
        (void)decode_relay_event(bytes);
    }));
    CHECK_FALSE(decode_relay_event("").has_value());
    CHECK_FALSE(decode_relay_event("\xff").has_value());
    CHECK_FALSE(decode_relay_query("\xff").has_value());
    error_answer const odd{.status = 7};
    CHECK_FALSE(
        decode_relay_event(encode(relay_answer{.answer = odd})).has_value());
}
