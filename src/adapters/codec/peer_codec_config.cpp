#include "adapters/codec/peer_codec_detail.hpp"

namespace snipemill {

using namespace peer_codec;

namespace {

struct object_writer
{
    wire::ConfigObject& out;

    void operator()(data_centre_object const& o) const
    {
        auto& m = *out.mutable_data_centre();
        m.set_name(o.name);
        m.set_region(o.region);
        m.set_state(enum_number(o.state));
    }
    void operator()(group_object const& o) const
    {
        auto& m = *out.mutable_group();
        m.set_name(o.name);
        m.set_deadline_us(to_us(o.deadline));
        m.set_min_coverage(o.min_coverage);
        m.set_hedge_quantile(o.hedge_quantile);
        m.set_hedge_budget(o.hedge_budget);
        m.set_preference(enum_number(o.preference));
        m.set_priority(o.priority);
        m.set_first_step(o.first_step);
    }
    void operator()(service_object const& o) const
    {
        auto& m = *out.mutable_service();
        m.set_name(o.name);
        m.set_group(o.group);
        m.set_slots(o.slots);
        m.set_connections(o.connections);
        m.set_connect_time_us(to_us(o.connect_time));
    }
    void operator()(upstream_object const& o) const
    {
        auto& m = *out.mutable_upstream();
        m.set_id(o.id.value);
        m.set_name(o.name);
        m.set_service(o.service);
        m.set_data_centre(o.data_centre);
        m.set_address(o.address);
        m.set_state(enum_number(o.state));
    }
    void operator()(removed_object const& o) const { out.set_removed(o.key); }
};

bool read(wire::DataCentre const& m, data_centre_object& out)
{
    return read_name(m.name(), out.name) && read_name(m.region(), out.region) &&
           read_enum(data_centre_state_names, m.state(), out.state);
}

bool fraction(double v)
{
    return v >= 0 && v <= 1; // false for a NaN
}

bool read(wire::Group const& m, group_object& out)
{
    out.min_coverage = m.min_coverage();
    out.hedge_quantile = m.hedge_quantile();
    out.hedge_budget = m.hedge_budget();
    out.priority = m.priority();
    out.first_step = m.first_step();
    return read_name(m.name(), out.name) &&
           read_duration(m.deadline_us(), out.deadline) &&
           read_enum(query_preference_names, m.preference(), out.preference) &&
           fraction(out.min_coverage) && fraction(out.hedge_quantile) &&
           fraction(out.hedge_budget);
}

bool read(wire::Service const& m, service_object& out)
{
    out.slots = m.slots();
    out.connections = m.connections();
    return read_name(m.name(), out.name) && read_name(m.group(), out.group) &&
           read_duration(m.connect_time_us(), out.connect_time);
}

bool read(wire::Upstream const& m, upstream_object& out)
{
    out.id = upstream_id(m.id());
    return read_name(m.name(), out.name) &&
           read_name(m.service(), out.service) &&
           read_name(m.data_centre(), out.data_centre) &&
           read_name(m.address(), out.address) &&
           read_enum(upstream_state_names, m.state(), out.state);
}

bool read_object(wire::ConfigObject const& m, config_object& out)
{
    switch (m.kind_case()) {
    case wire::ConfigObject::kDataCentre:
        return read(m.data_centre(), out.emplace<data_centre_object>());
    case wire::ConfigObject::kGroup:
        return read(m.group(), out.emplace<group_object>());
    case wire::ConfigObject::kService:
        return read(m.service(), out.emplace<service_object>());
    case wire::ConfigObject::kUpstream:
        return read(m.upstream(), out.emplace<upstream_object>());
    case wire::ConfigObject::kRemoved:
        return read_name(m.removed(), out.emplace<removed_object>().key);
    case wire::ConfigObject::KIND_NOT_SET:
        break;
    }
    return false;
}

// A ticket and its summary have these fields in common.
template <class Message, class T>
void write_heading(Message& out, T const& t)
{
    out.set_number(t.number);
    out.set_author(t.author);
    out.set_reason(t.reason);
    out.set_nonce(t.nonce);
}

template <class Message, class T>
bool read_heading(Message const& m, T& out)
{
    out.number = m.number();
    out.author = m.author();
    out.reason = m.reason();
    out.nonce = m.nonce();
    return true;
}

bool read_ticket(wire::Ticket const& m, ticket& out)
{
    return read_heading(m, out) &&
           read_items(m.objects(), out.objects, read_object);
}

struct push_writer
{
    wire::ConfigPush& out;

    void operator()(std::vector<ticket> const& tickets) const
    {
        for (auto const& it : tickets) {
            auto& m = *out.add_tickets();
            write_heading(m, it);
            for (auto const& object : it.objects) {
                std::visit(object_writer{*m.add_objects()}, object);
            }
        }
    }
    void operator()(config_snapshot const& state) const
    {
        auto& m = *out.mutable_state();
        m.set_number(state.number);
        for (auto const& [key, object] : state.objects) {
            std::visit(object_writer{*m.add_objects()}, object);
        }
        for (auto const& it : state.history) {
            write_heading(*m.add_history(), it);
        }
    }
};

bool read_tickets(wire::ConfigPush const& m, std::vector<ticket>& out)
{
    if (!read_items(m.tickets(), out, read_ticket)) {
        return false;
    }
    for (std::size_t i = 1; i < out.size(); ++i) {
        if (out[i].number != out[i - 1].number + 1) {
            return false;
        }
    }
    return true;
}

bool read_state(wire::ConfigSnapshot const& m, config_snapshot& out)
{
    out.number = m.number();
    for (auto const& it : m.objects()) {
        config_object object;
        if (!read_object(it, object)) {
            return false;
        }
        auto key = object_key(object);
        if (!out.objects.emplace(std::move(key), std::move(object)).second) {
            return false;
        }
    }
    return read_items(m.history(), out.history,
                      read_heading<wire::TicketSummary, ticket_summary>);
}

bool read_push(wire::ConfigPush const& m, config_push& out)
{
    if (m.has_state()) {
        return m.tickets().empty() &&
               read_state(m.state(), out.emplace<config_snapshot>());
    }
    return read_tickets(m, out.emplace<std::vector<ticket>>());
}

} // namespace

std::string encode(hybrid_time time, config_pull_request const& m)
{
    call_arena arena;
    auto& out = arena.make<wire::ConfigPull>();
    set_time(out, time);
    out.set_have(m.have);
    out.set_announce(m.announce);
    out.set_from(m.from.value);
    return out.SerializeAsString();
}

std::string encode(hybrid_time time, config_push_answer const& m)
{
    call_arena arena;
    auto& out = arena.make<wire::ConfigPush>();
    set_time(out, time);
    std::visit(push_writer{out}, m.push);
    out.set_number(m.number);
    for (auto const& it : m.members) {
        write_member(*out.add_members(), it);
    }
    return out.SerializeAsString();
}

std::optional<stamped<config_pull_request>>
decode_config_pull(std::string_view b)
{
    call_arena arena;
    auto const* m = arena.parse<wire::ConfigPull>(b);
    if (m == nullptr) {
        return std::nullopt;
    }
    stamped<config_pull_request> out{.time = time_of(*m)};
    out.message.have = m->have();
    out.message.announce = m->announce();
    if (!read_name(m->from(), out.message.from.value)) {
        return std::nullopt;
    }
    return out;
}

std::optional<stamped<config_push_answer>>
decode_config_push(std::string_view b)
{
    // A host that is not ready refuses a pull with an empty message. Protobuf
    // reads that as an answer without tickets, which would count as a peer's
    // vote for the start of another host.
    if (b.empty()) {
        return std::nullopt;
    }
    call_arena arena;
    auto const* m = arena.parse<wire::ConfigPush>(b);
    if (m == nullptr) {
        return std::nullopt;
    }
    stamped<config_push_answer> out{.time = time_of(*m)};
    out.message.number = m->number();
    if (!read_push(*m, out.message.push) ||
        !read_items(m->members(), out.message.members, read_member)) {
        return std::nullopt;
    }
    return out;
}

} // namespace snipemill
