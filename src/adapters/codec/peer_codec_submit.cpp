#include "adapters/codec/peer_codec_detail.hpp"

namespace snipemill {

using namespace peer_codec;

namespace {

// Lowest and highest status of a final HTTP answer.
constexpr std::uint32_t min_status = 200;
constexpr std::uint32_t max_status = 599;

struct outcome_writer
{
    wire::SubmitResult& out;

    void operator()(submit_answered const& o) const
    {
        out.mutable_answered()->set_status(o.status);
        out.mutable_answered()->set_body(o.body);
    }
    void operator()(submit_not_run const& o) const
    {
        out.set_not_run(enum_number(o.reason));
    }
    void operator()(submit_unknown const& o) const
    {
        out.set_unknown(enum_number(o.reason));
    }
};

bool read_outcome(wire::SubmitResult const& m, submit_outcome& out)
{
    switch (m.outcome_case()) {
    case wire::SubmitResult::kAnswered: {
        auto const status = m.answered().status();
        out = submit_answered{status, m.answered().body()};
        return status >= min_status && status <= max_status;
    }
    case wire::SubmitResult::kNotRun:
        return read_enum(errc_names, m.not_run(),
                         out.emplace<submit_not_run>().reason);
    case wire::SubmitResult::kUnknown:
        return read_enum(errc_names, m.unknown(),
                         out.emplace<submit_unknown>().reason);
    case wire::SubmitResult::OUTCOME_NOT_SET:
        break;
    }
    return false;
}

} // namespace

std::string encode(hybrid_time time, submit_forward const& m)
{
    call_arena arena;
    auto& out = arena.make<wire::SubmitForward>();
    set_time(out, time);
    out.set_id(m.id.value);
    out.set_group(m.group);
    out.set_key(m.key);
    out.set_body(m.body);
    out.set_target(m.target.value);
    out.set_remaining_us(to_us(m.remaining));
    out.set_print(m.print.value);
    return out.SerializeAsString();
}

std::string encode(hybrid_time time, submit_result const& m)
{
    call_arena arena;
    auto& out = arena.make<wire::SubmitResult>();
    set_time(out, time);
    out.set_id(m.id.value);
    std::visit(outcome_writer{out}, m.outcome);
    return out.SerializeAsString();
}

std::optional<stamped<submit_forward>> decode_submit_forward(std::string_view b)
{
    call_arena arena;
    auto const* m = arena.parse<wire::SubmitForward>(b);
    if (m == nullptr) {
        return std::nullopt;
    }
    stamped<submit_forward> out{.time = time_of(*m)};
    if (!read_name(m->group(), out.message.group) ||
        !read_duration(m->remaining_us(), out.message.remaining)) {
        return std::nullopt;
    }
    out.message.id = request_id(m->id());
    out.message.key = m->key();
    out.message.body = m->body();
    out.message.target = upstream_id(m->target());
    out.message.print = fingerprint(m->print());
    return out;
}

std::optional<stamped<submit_result>> decode_submit_result(std::string_view b)
{
    call_arena arena;
    auto const* m = arena.parse<wire::SubmitResult>(b);
    if (m == nullptr) {
        return std::nullopt;
    }
    stamped<submit_result> out{.time = time_of(*m)};
    out.message.id = request_id(m->id());
    if (!read_outcome(*m, out.message.outcome)) {
        return std::nullopt;
    }
    return out;
}

} // namespace snipemill
