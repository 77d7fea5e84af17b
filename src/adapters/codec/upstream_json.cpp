#include "adapters/codec/upstream_json.hpp"

#include "adapters/codec/json_text.hpp"
#include "adapters/codec/json_value.hpp"

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>

#include <array>
#include <charconv>
#include <cstddef>

namespace snipemill {

namespace {

namespace json = boost::json;

// Holds the parsed form of a typical answer without a heap allocation.
constexpr std::size_t parse_buffer_bytes = 16 * 1024;

// A JSON object parsed into memory that is freed as a whole.
class parsed_object
{
public:
    explicit parsed_object(std::string_view text)
        : memory_(buf_.data(), buf_.size())
    {
        json::error_code ec;
        value_ = json::parse(text, ec, &memory_);
        ok_ = !ec && value_.is_object();
    }

    json::object const* get() const
    {
        return ok_ ? &value_.get_object() : nullptr;
    }

private:
    std::array<unsigned char, parse_buffer_bytes> buf_;
    json::monotonic_resource memory_;
    json::value value_ = json::value(json::storage_ptr(&memory_));
    bool ok_ = false;
};

json::array const* array_member(json::object const& o, char const* name)
{
    auto const* v = o.if_contains(name);
    return v == nullptr ? nullptr : v->if_array();
}

template <class T>
bool read_whole(std::string_view text, T& out)
{
    auto const* end = text.data() + text.size();
    auto const [ptr, ec] = std::from_chars(text.data(), end, out);
    return ec == std::errc() && ptr == end;
}

bool read_text(std::string_view text, std::string& out)
{
    if (!text.starts_with('"')) {
        return false;
    }
    if (text.find('\\') == std::string_view::npos) {
        out = text.substr(1, text.size() - 2);
        return true;
    }
    json::error_code ec;
    auto const v = json::parse(text, ec);
    return !ec && read_value(v, out);
}

bool read_rank(std::string_view text, double& out)
{
    auto const number = number_of(text);
    out = number.value_or(0);
    return number.has_value();
}

bool read_body(std::string_view text, std::string& out)
{
    out = compact_json(text);
    return text.starts_with('{');
}

// Members that were read, as bits; each reader below names its own.
using member_set = unsigned;

// Reads the member into the set's bit when read() succeeds.
template <class Read>
void take(member_set& found, unsigned bit, Read read)
{
    found = read() ? found | (1U << bit) : found & ~(1U << bit);
}

bool read_part(json_walk& walk, partition_part& out)
{
    member_set found = 0;
    while (walk.next()) {
        auto const name = walk.name();
        auto const text = walk.value();
        if (name == "id") {
            take(found, 0, [&] { return read_whole(text, out.id.value); });
        }
        else if (name == "documents") {
            take(found, 1, [&] { return read_whole(text, out.documents); });
        }
        else if (name == "matches") {
            take(found, 2, [&] { return read_whole(text, out.matches); });
        }
    }
    return found == 7;
}

bool read_record(json_walk& walk, record& out)
{
    member_set found = 0;
    while (walk.next()) {
        auto const name = walk.name();
        auto const text = walk.value();
        if (name == "key") {
            take(found, 0, [&] { return read_text(text, out.key); });
        }
        else if (name == "rank") {
            take(found, 1, [&] { return read_rank(text, out.rank); });
        }
        else if (name == "partition") {
            take(found, 2,
                 [&] { return read_whole(text, out.partition.value); });
        }
        else if (name == "body") {
            take(found, 3, [&] { return read_body(text, out.body); });
        }
    }
    return found == 15;
}

// Reads the current value of the walk as an array of objects.
template <class T, class Read>
bool read_objects(json_walk& walk, std::vector<T>& out, Read read)
{
    out.clear();
    if (!walk.value_is_array()) {
        return false;
    }
    json_walk items(&walk);
    while (items.next()) {
        if (!items.value_is_object()) {
            return false;
        }
        json_walk members(&items);
        if (!read(members, out.emplace_back())) {
            return false;
        }
    }
    return true;
}

bool read_answer(json_walk& walk, sub_answer& out)
{
    member_set found = 0;
    while (walk.next()) {
        auto const name = walk.name();
        if (name == "version") {
            take(found, 0,
                 [&] { return read_whole(walk.value(), out.version.value); });
        }
        else if (name == "partition_count") {
            take(found, 1,
                 [&] { return read_whole(walk.value(), out.partition_count); });
        }
        else if (name == "partitions") {
            if (!read_objects(walk, out.partitions, read_part)) {
                return false;
            }
            found |= 1U << 2;
        }
        else if (name == "records") {
            if (!read_objects(walk, out.records, read_record)) {
                return false;
            }
            found |= 1U << 3;
        }
    }
    return found == 15;
}

bool read_held(json::value const& v, held_version& out)
{
    auto const* o = v.if_object();
    auto const* items = o == nullptr ? nullptr : array_member(*o, "partitions");
    if (items == nullptr || !read_member(*o, "version", out.version.value) ||
        !read_member(*o, "partition_count", out.partition_count)) {
        return false;
    }
    for (auto const& it : *items) {
        auto const* item = it.if_object();
        auto& part = out.partitions.emplace_back();
        if (item == nullptr || !read_member(*item, "id", part.id.value) ||
            !read_member(*item, "documents", part.documents)) {
            return false;
        }
    }
    return true;
}

} // namespace

std::string write_sub_request(sub_request const& request)
{
    std::string out;
    out.reserve(request.body.size() + request.group.size() + 64);
    out += R"({"group":)";
    append_quoted(out, request.group);
    out += R"(,"query":)";
    out += request.body;
    out += R"(,"limit":)";
    out += std::to_string(request.limit);
    out += R"(,"order":)";
    append_quoted(out, name_of(sort_order_names, request.order));
    out += '}';
    return out;
}

// Checks the syntax first and then reads the members from the text: building
// Boost.JSON's value takes longer than both.
std::optional<sub_answer> parse_sub_answer(std::string_view body)
{
    sub_answer answer;
    json_walk walk(body);
    if (!valid_json(body) || !walk.of_object() || !read_answer(walk, answer)) {
        return std::nullopt;
    }
    return answer;
}

std::vector<index_version> parse_held_versions(std::string_view body)
{
    parsed_object const parsed(body);
    auto const* o = parsed.get();
    auto const* items = o == nullptr ? nullptr : array_member(*o, "held");
    std::vector<index_version> held;
    if (items == nullptr) {
        return held;
    }
    for (auto const& it : *items) {
        index_version version;
        if (!read_value(it, version.value)) {
            return {};
        }
        held.push_back(version);
    }
    return held;
}

std::optional<upstream_status> parse_upstream_status(std::string_view body)
{
    parsed_object const parsed(body);
    auto const* o = parsed.get();
    if (o == nullptr) {
        return std::nullopt;
    }
    upstream_status status;
    auto const* held = array_member(*o, "held");
    if (held == nullptr || !read_member(*o, "starting", status.starting) ||
        !read_member(*o, "draining", status.draining) ||
        !read_member(*o, "in_flight", status.in_flight)) {
        return std::nullopt;
    }
    for (auto const& it : *held) {
        if (!read_held(it, status.held.emplace_back())) {
            return std::nullopt;
        }
    }
    return status;
}

} // namespace snipemill
