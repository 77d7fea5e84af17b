#include "adapters/codec/config_json.hpp"

#include "adapters/codec/config_fields.hpp"
#include "adapters/codec/json_text.hpp"
#include "adapters/codec/json_value.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <cmath>
#include <string>

namespace snipemill {

namespace {

namespace json = boost::json;

// Durations have microseconds inside and milliseconds in the text.
constexpr double us_per_ms = 1000;

// Writes the fields of an object as members.
class field_writer
{
public:
    explicit field_writer(json::object& out) : out_(&out) {}

    void text(char const* name, std::string const& v, text_rule, presence)
    {
        (*out_)[name] = v;
    }
    void count(char const* name, std::uint32_t v, std::uint64_t, presence)
    {
        (*out_)[name] = v;
    }
    void fraction(char const* name, double v) { (*out_)[name] = v; }
    void time(char const* name, duration v, double)
    {
        if (v % from_ms(1) == duration{}) {
            (*out_)[name] = v / from_ms(1);
        }
        else {
            (*out_)[name] = static_cast<double>(v.count()) / us_per_ms;
        }
    }
    void flag(char const* name, bool v) { (*out_)[name] = v; }
    template <class Enum, std::size_t N>
    void choice(char const* name, Enum v, name_table<Enum, N> const& names)
    {
        (*out_)[name] = name_of(names, v);
    }

private:
    json::object* out_;
};

// Reads the fields of a stored object. It checks types but not the ranges of
// a ticket file: a stored object has been accepted and must stay readable.
class field_reader
{
public:
    explicit field_reader(json::object const& in) : in_(&in) {}

    void text(char const* name, std::string& v, text_rule, presence p)
    {
        take(name, p, [&](json::value const& it) { return read_value(it, v); });
    }
    void count(char const* name, std::uint32_t& v, std::uint64_t, presence p)
    {
        take(name, p, [&](json::value const& it) { return read_value(it, v); });
    }
    void fraction(char const* name, double& v)
    {
        take(name, presence::optional,
             [&](json::value const& it) { return read_double(it, v); });
    }
    void time(char const* name, duration& v, double)
    {
        take(name, presence::optional, [&](json::value const& it) {
            double ms = 0;
            if (!read_double(it, ms) || std::abs(ms) > max_field_ms) {
                return false;
            }
            v = duration(std::llround(ms * us_per_ms));
            return true;
        });
    }
    void flag(char const* name, bool& v)
    {
        take(name, presence::optional,
             [&](json::value const& it) { return read_value(it, v); });
    }
    template <class Enum, std::size_t N>
    void choice(char const* name, Enum& v, name_table<Enum, N> const& names)
    {
        take(name, presence::optional, [&](json::value const& it) {
            std::string word;
            auto const known =
                read_value(it, word) ? value_of(names, word) : std::nullopt;
            v = known.value_or(v);
            return known.has_value();
        });
    }

    bool ok() const { return ok_; }

private:
    template <class Read>
    void take(char const* name, presence p, Read read)
    {
        auto const* it = in_->if_contains(name);
        if (it == nullptr) {
            ok_ = ok_ && p == presence::optional;
        }
        else {
            ok_ = read(*it) && ok_;
        }
    }

    static bool read_double(json::value const& it, double& v)
    {
        json::error_code ec;
        auto const number = it.to_number<double>(ec);
        v = ec ? v : number;
        return !ec;
    }

    json::object const* in_;
    bool ok_ = true;
};

json::object to_json(config_object object)
{
    json::object out;
    out["kind"] = object_kind_names[object.index()].second;
    field_writer writer(out);
    std::visit([&](auto& it) { describe_fields(it, writer); }, object);
    return out;
}

template <class Objects, class Get>
json::array objects_to_json(Objects const& objects, Get get)
{
    json::array out;
    out.reserve(objects.size());
    for (auto const& it : objects) {
        out.push_back(to_json(get(it)));
    }
    return out;
}

json::object to_json(ticket const& t)
{
    json::object out;
    if (t.number != 0) {
        out["number"] = t.number;
    }
    out["author"] = t.author;
    out["reason"] = t.reason;
    if (!t.nonce.empty()) {
        out["nonce"] = t.nonce;
    }
    out["objects"] =
        objects_to_json(t.objects, [](config_object const& it) { return it; });
    return out;
}

json::object to_json(ticket_summary const& t)
{
    json::object out;
    out["number"] = t.number;
    out["author"] = t.author;
    out["reason"] = t.reason;
    out["nonce"] = t.nonce;
    return out;
}

bool from_json(json::value const& v, config_object& out)
{
    auto const* o = v.if_object();
    std::string word;
    if (o == nullptr || !read_member(*o, "kind", word)) {
        return false;
    }
    auto const kind = value_of(object_kind_names, word);
    if (!kind) {
        return false;
    }
    out = make_object(*kind);
    field_reader reader(*o);
    std::visit([&](auto& it) { describe_fields(it, reader); }, out);
    return reader.ok();
}

// Reads what a ticket and its summary have in common.
template <class T>
bool read_heading(json::object const& o, T& out)
{
    return read_optional(o, "number", out.number) &&
           read_member(o, "author", out.author) &&
           read_member(o, "reason", out.reason) &&
           read_optional(o, "nonce", out.nonce);
}

bool from_json(json::value const& v, ticket_summary& out)
{
    auto const* o = v.if_object();
    return o != nullptr && read_heading(*o, out);
}

bool from_json(json::value const& v, ticket& out);

template <class T>
bool read_array(json::object const& o, char const* name, std::vector<T>& out)
{
    auto const* member = o.if_contains(name);
    auto const* items = member == nullptr ? nullptr : member->if_array();
    if (items == nullptr) {
        return false;
    }
    out.reserve(items->size());
    for (auto const& it : *items) {
        if (!from_json(it, out.emplace_back())) {
            return false;
        }
    }
    return true;
}

bool from_json(json::value const& v, ticket& out)
{
    auto const* o = v.if_object();
    return o != nullptr && read_heading(*o, out) &&
           read_array(*o, "objects", out.objects);
}

// The tickets have to be base + 1 to number, in order.
bool without_gaps(config_head const& head)
{
    auto next = head.base;
    for (auto const& it : head.tickets) {
        if (it.number != ++next) {
            return false;
        }
    }
    return next == head.number;
}

json::value parse_text(std::string_view text)
{
    json::error_code ec;
    auto v = json::parse(text, ec);
    return ec ? json::value() : v;
}

} // namespace

std::string write_ticket(ticket const& t)
{
    return json::serialize(to_json(t));
}

std::string write_config_head(config_head const& head)
{
    json::object out;
    out["number"] = head.number;
    out["base"] = head.base;
    auto& tickets = out["tickets"].emplace_array();
    for (auto const& it : head.tickets) {
        tickets.push_back(to_json(it));
    }
    return json::serialize(out);
}

std::string write_snapshot(config_snapshot const& state)
{
    json::object out;
    out["number"] = state.number;
    out["objects"] = objects_to_json(state.objects,
                                     [](auto const& it) { return it.second; });
    auto& history = out["history"].emplace_array();
    for (auto const& it : state.history) {
        history.push_back(to_json(it));
    }
    return json::serialize(out);
}

std::string write_claim(claim const& c)
{
    json::object out;
    out["nonce"] = c.nonce;
    out["body_digest"] = c.body_digest;
    out["state"] = name_of(claim_state_names, c.state);
    out["status"] = c.answer.status;
    out["body"] = c.answer.body;
    out["created"] = c.created;
    return json::serialize(out);
}

std::optional<config_head> parse_head(std::string_view text)
{
    auto const v = parse_text(text);
    auto const* o = v.if_object();
    config_head head;
    if (o == nullptr || !read_member(*o, "number", head.number) ||
        !read_member(*o, "base", head.base) ||
        !read_array(*o, "tickets", head.tickets) || !without_gaps(head)) {
        return std::nullopt;
    }
    return head;
}

std::optional<config_snapshot> parse_snapshot(std::string_view text)
{
    auto const v = parse_text(text);
    auto const* o = v.if_object();
    config_snapshot state;
    std::vector<config_object> objects;
    if (o == nullptr || !read_member(*o, "number", state.number) ||
        !read_array(*o, "objects", objects) ||
        !read_array(*o, "history", state.history)) {
        return std::nullopt;
    }
    for (auto& it : objects) {
        auto key = object_key(it);
        if (!state.objects.emplace(std::move(key), std::move(it)).second) {
            return std::nullopt;
        }
    }
    return state;
}

std::optional<claim> parse_claim(std::string_view text)
{
    auto const v = parse_text(text);
    auto const* o = v.if_object();
    claim c;
    std::string word;
    if (o == nullptr || !read_member(*o, "nonce", c.nonce) ||
        !read_member(*o, "body_digest", c.body_digest) ||
        !read_member(*o, "state", word) ||
        !read_member(*o, "status", c.answer.status) ||
        !read_member(*o, "body", c.answer.body) ||
        !read_member(*o, "created", c.created)) {
        return std::nullopt;
    }
    auto const state = value_of(claim_state_names, word);
    if (!state) {
        return std::nullopt;
    }
    c.state = *state;
    return c;
}

} // namespace snipemill
