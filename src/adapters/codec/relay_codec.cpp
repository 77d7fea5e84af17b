#include "adapters/codec/relay_codec.hpp"

#include "adapters/codec/peer_codec_detail.hpp"
#include "adapters/http/status_kind.hpp"
#include "core/base/overloaded.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace snipemill {

using namespace peer_codec;

namespace {

void write_summary(wire::RelaySummary& out, run_summary const& from)
{
    out.set_parts(from.services);
    out.set_parts_in(from.services_answered);
    out.set_sends(from.attempt_count);
    out.set_hedges(from.hedges);
    out.set_faults(from.faults);
    out.set_attempts(from.attempts);
}

run_summary read_summary(wire::RelaySummary const& from)
{
    return {.services = from.parts(),
            .services_answered = from.parts_in(),
            .attempt_count = from.sends(),
            .hedges = from.hedges(),
            .faults = from.faults(),
            .attempts = from.attempts()};
}

void write_merged(wire::RelayMerged& out, merged_answer const& from)
{
    out.set_body(from.body);
    for (auto const& it : from.stamps) {
        out.add_proofs(it);
    }
    out.set_missing(from.missing);
}

merged_answer read_merged(wire::RelayMerged const& from)
{
    return {.body = from.body(),
            .stamps = {from.proofs().begin(), from.proofs().end()},
            .missing = from.missing()};
}

void write_failed(wire::RelayRefusedAnswer& out, error_answer const& from)
{
    out.set_status(from.status);
    out.set_code(enum_number(from.reason.code));
    out.set_run(enum_number(from.reason.run));
    out.set_detail(from.reason.detail);
    out.set_retry_after_us(to_us(from.retry_after));
}

bool read_failed(wire::RelayRefusedAnswer const& from, error_answer& out)
{
    out.status = from.status();
    out.reason.detail = from.detail();
    return kind_of_status(out.status) == status_kind::final_response &&
           read_enum(errc_names, from.code(), out.reason.code) &&
           read_enum(run_state_names, from.run(), out.reason.run) &&
           read_duration(from.retry_after_us(), out.retry_after);
}

std::optional<relay_event> read_refused(std::uint32_t reason)
{
    relay_refused out;
    if (!read_enum(relay_refusal_names, reason, out.reason)) {
        return std::nullopt;
    }
    return out;
}

std::optional<relay_event> read_failed_event(wire::RelayEvent const& from)
{
    error_answer out;
    if (!read_failed(from.failed(), out)) {
        return std::nullopt;
    }
    return relay_answer{.answer = std::move(out),
                        .summary = read_summary(from.summary())};
}

} // namespace

std::string encode(relay_query const& query)
{
    call_arena arena;
    auto& out = arena.make<wire::RelayQuery>();
    out.set_route(query.route);
    out.set_fingerprint(query.fingerprint);
    out.set_elapsed_us(to_us(query.elapsed));
    out.set_left_us(to_us(query.left));
    out.set_attempts(query.attempts);
    out.set_id(query.request->id);
    out.set_method(query.request->method);
    out.set_target(query.request->target);
    out.set_text(query.request->text);
    out.set_body(query.request->body);
    out.set_print(query.request->print.value);
    return out.SerializeAsString();
}

std::optional<relay_query> decode_relay_query(std::string_view bytes)
{
    call_arena arena;
    auto const* const in = arena.parse<wire::RelayQuery>(bytes);
    relay_query out;
    if (!in || !read_name(in->route(), out.route) ||
        !read_duration(in->elapsed_us(), out.elapsed) ||
        !read_duration(in->left_us(), out.left)) {
        return std::nullopt;
    }
    out.fingerprint = in->fingerprint();
    out.attempts = std::max(1U, in->attempts());
    out.request = std::make_shared<forward_request const>(
        forward_request{.id = in->id(),
                        .method = in->method(),
                        .target = in->target(),
                        .text = in->text(),
                        .body = in->body(),
                        .print = fingerprint(in->print())});
    return out;
}

std::string encode(relay_accepted const& /*event*/)
{
    call_arena arena;
    auto& out = arena.make<wire::RelayEvent>();
    out.set_accepted(true);
    return out.SerializeAsString();
}

std::string encode(relay_refused const& event)
{
    call_arena arena;
    auto& out = arena.make<wire::RelayEvent>();
    out.set_refused(enum_number(event.reason));
    return out.SerializeAsString();
}

std::string encode(relay_answer const& event)
{
    call_arena arena;
    auto& out = arena.make<wire::RelayEvent>();
    std::visit(overloaded{[&](merged_answer const& it) {
                              write_merged(*out.mutable_merged(), it);
                          },
                          [&](error_answer const& it) {
                              write_failed(*out.mutable_failed(), it);
                          }},
               event.answer);
    write_summary(*out.mutable_summary(), event.summary);
    return out.SerializeAsString();
}

std::optional<relay_event> decode_relay_event(std::string_view bytes)
{
    call_arena arena;
    auto const* const in = arena.parse<wire::RelayEvent>(bytes);
    if (!in) {
        return std::nullopt;
    }
    switch (in->event_case()) {
    case wire::RelayEvent::kAccepted:
        return relay_accepted{};
    case wire::RelayEvent::kRefused:
        return read_refused(in->refused());
    case wire::RelayEvent::kMerged:
        return relay_answer{.answer = read_merged(in->merged()),
                            .summary = read_summary(in->summary())};
    case wire::RelayEvent::kFailed:
        return read_failed_event(*in);
    case wire::RelayEvent::EVENT_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace snipemill
