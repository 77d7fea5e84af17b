#include "adapters/codec/upstream_json.hpp"

#include "adapters/codec/json_text.hpp"
#include "adapters/codec/json_value.hpp"

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>

#include <array>
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

// with_matches: the member "matches" has to be there.
bool read_partitions(json::object const& o, bool with_matches,
                     std::vector<partition_part>& out)
{
    auto const* items = array_member(o, "partitions");
    if (items == nullptr) {
        return false;
    }
    out.reserve(items->size());
    for (auto const& it : *items) {
        auto const* item = it.if_object();
        partition_part part;
        if (item == nullptr || !read_member(*item, "id", part.id.value) ||
            !read_member(*item, "documents", part.documents) ||
            (with_matches && !read_member(*item, "matches", part.matches))) {
            return false;
        }
        out.push_back(part);
    }
    return true;
}

// Takes rank and body from the source text, where they are exact.
bool read_record_text(std::string_view text, record& out)
{
    bool has_rank = false;
    bool has_body = false;
    for (json_walk walk(text); walk.next();) {
        if (walk.name() == "rank") {
            auto const rank = number_of(walk.value());
            out.rank = rank.value_or(0);
            has_rank = rank.has_value();
        }
        else if (walk.name() == "body") {
            out.body = compact_json(walk.value());
            has_body = out.body.starts_with('{');
        }
    }
    return has_rank && has_body;
}

bool read_records(json::array const& items, std::string_view text,
                  std::vector<record>& out)
{
    out.reserve(items.size());
    json_walk walk(text);
    for (auto const& it : items) {
        auto const* item = it.if_object();
        auto& r = out.emplace_back();
        if (!walk.next() || item == nullptr ||
            !read_member(*item, "key", r.key) ||
            !read_member(*item, "partition", r.partition.value) ||
            !read_record_text(walk.value(), r)) {
            return false;
        }
    }
    return true;
}

std::string_view member_text(std::string_view object, std::string_view name)
{
    std::string_view found = "[]";
    for (json_walk walk(object); walk.next();) {
        if (walk.name() == name) {
            found = walk.value();
        }
    }
    return found;
}

bool read_held(json::value const& v, held_version& out)
{
    auto const* o = v.if_object();
    return o != nullptr && read_member(*o, "version", out.version.value) &&
           read_member(*o, "partition_count", out.partition_count) &&
           read_partitions(*o, false, out.partitions);
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

std::optional<sub_answer> parse_sub_answer(std::string_view body)
{
    parsed_object const parsed(body);
    auto const* o = parsed.get();
    if (o == nullptr) {
        return std::nullopt;
    }
    sub_answer answer;
    auto const* records = array_member(*o, "records");
    if (records == nullptr ||
        !read_member(*o, "version", answer.version.value) ||
        !read_member(*o, "partition_count", answer.partition_count) ||
        !read_partitions(*o, true, answer.partitions) ||
        !read_records(*records, member_text(body, "records"), answer.records)) {
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
