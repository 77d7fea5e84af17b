#include "adapters/codec/caller_json.hpp"

#include "adapters/codec/json_text.hpp"
#include "adapters/codec/json_value.hpp"

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>

#include <array>
#include <cstddef>
#include <utility>

namespace snipemill {

namespace {

namespace json = boost::json;

constexpr std::size_t parse_buffer_bytes = 8 * 1024;
constexpr std::uint32_t max_deadline_ms = 3'600'000;

failure malformed(std::string detail)
{
    return {errc::malformed_request, run_state::not_run, std::move(detail)};
}

std::string wrong(std::string_view member, std::string_view expected)
{
    return "member \"" + std::string(member) + "\" must be " +
           std::string(expected);
}

struct member_value
{
    json::value const& parsed;
    std::string_view text; // source text of the value
};

bool read_deadline(member_value const& m, duration& out)
{
    std::uint32_t ms = 0;
    if (!read_value(m.parsed, ms) || ms == 0 || ms > max_deadline_ms) {
        return false;
    }
    out = from_ms(ms);
    return true;
}

bool read_group(member_value const& m, std::string& out)
{
    return read_value(m.parsed, out) && !out.empty();
}

bool read_order(member_value const& m, sort_order& out)
{
    std::string name;
    auto const known = read_value(m.parsed, name)
                           ? value_of(sort_order_names, name)
                           : std::nullopt;
    out = known.value_or(out);
    return known.has_value();
}

// Each reads one member and returns the fault, empty when there is none.
std::string read_query_member(std::string_view name, member_value const& m,
                              caller_query& out)
{
    if (name == "group") {
        return read_group(m, out.group) ? "" : wrong(name, "a string");
    }
    if (name == "query") {
        out.body = compact_json(m.text);
        return m.parsed.is_object() ? "" : wrong(name, "an object");
    }
    if (name == "offset") {
        return read_value(m.parsed, out.offset) ? ""
                                                : wrong(name, "a whole number");
    }
    if (name == "limit") {
        return read_value(m.parsed, out.limit) ? ""
                                               : wrong(name, "a whole number");
    }
    if (name == "order") {
        return read_order(m, out.order) ? "" : wrong(name, "asc or desc");
    }
    if (name == "deadline_ms") {
        return read_deadline(m, out.deadline.emplace())
                   ? ""
                   : wrong(name, "a whole number from 1 to 3600000");
    }
    if (name == "min_coverage") {
        out.min_coverage = number_of(m.text);
        bool const ok = out.min_coverage && *out.min_coverage >= 0 &&
                        *out.min_coverage <= 1;
        return ok ? "" : wrong(name, "a number from 0 to 1");
    }
    if (name == "partial") {
        return read_value(m.parsed, out.partial) ? ""
                                                 : wrong(name, "true or false");
    }
    return "unknown member \"" + std::string(name) + "\"";
}

std::string read_submit_member(std::string_view name, member_value const& m,
                               caller_submit& out)
{
    if (name == "group") {
        return read_group(m, out.group) ? "" : wrong(name, "a string");
    }
    if (name == "service") {
        return read_value(m.parsed, out.service) ? "" : wrong(name, "a string");
    }
    if (name == "request") {
        out.body = compact_json(m.text);
        return m.parsed.is_object() ? "" : wrong(name, "an object");
    }
    if (name == "deadline_ms") {
        return read_deadline(m, out.deadline)
                   ? ""
                   : wrong(name, "a whole number from 1 to 3600000");
    }
    return "unknown member \"" + std::string(name) + "\"";
}

// Calls read(name, value) for every member of the body, which has to be an
// object without duplicate names. Returns the first fault.
template <class Read>
std::string read_members(std::string_view body, Read read)
{
    std::array<unsigned char, parse_buffer_bytes> buf;
    json::monotonic_resource memory(buf.data(), buf.size());
    json::error_code ec;
    auto const parsed = json::parse(body, ec, &memory);
    if (ec) {
        return "body is not valid JSON: " + ec.message();
    }
    if (!parsed.is_object()) {
        return "body must be a JSON object";
    }
    std::size_t count = 0;
    for (json_walk walk(body); walk.next(); ++count) {
        auto const* value = parsed.get_object().if_contains(walk.name());
        if (value == nullptr) {
            return "unknown member \"" + std::string(walk.name()) + "\"";
        }
        auto fault = read(walk.name(), member_value{*value, walk.value()});
        if (!fault.empty()) {
            return fault;
        }
    }
    if (count != parsed.get_object().size()) {
        return "body has a member twice";
    }
    return {};
}

void append_count(std::string& out, std::string_view name, std::uint64_t n)
{
    out += ',';
    append_quoted(out, name);
    out += ':';
    out += std::to_string(n);
}

void append_flag(std::string& out, std::string_view name, bool flag)
{
    out += ',';
    append_quoted(out, name);
    out += flag ? ":true" : ":false";
}

// Calls append(item) for each item and puts commas between.
template <class Items, class Append>
void append_array(std::string& out, Items const& items, Append append)
{
    out += '[';
    bool first = true;
    for (auto const& it : items) {
        if (!std::exchange(first, false)) {
            out += ',';
        }
        append(it);
    }
    out += ']';
}

void append_record(std::string& out, record const& r)
{
    out += R"({"key":)";
    append_quoted(out, r.key);
    out += R"(,"rank":)";
    append_number(out, r.rank);
    append_count(out, "partition", r.partition.value);
    out += R"(,"body":)";
    out += r.body.empty() ? "null" : r.body;
    out += '}';
}

void append_coverage(std::string& out, coverage_report const& c)
{
    out += R"({"fraction":)";
    if (c.fraction) {
        append_number(out, *c.fraction);
    }
    else {
        out += "null";
    }
    append_count(out, "partitions", c.partitions);
    append_count(out, "merged", c.merged);
    out += R"(,"missing":)";
    append_array(out, c.missing, [&](missing_partitions const& m) {
        out += R"({"service":)";
        append_quoted(out, m.service);
        out += R"(,"partitions":)";
        append_array(out, m.partitions,
                     [&](partition_id id) { out += std::to_string(id.value); });
        out += '}';
    });
    out += R"(,"missing_services":)";
    append_array(out, c.missing_services,
                 [&](std::string const& name) { append_quoted(out, name); });
    out += '}';
}

} // namespace

std::variant<caller_query, failure> parse_caller_query(std::string_view body)
{
    caller_query query;
    auto fault = read_members(body, [&](auto name, auto const& m) {
        return read_query_member(name, m, query);
    });
    if (!fault.empty()) {
        return malformed(std::move(fault));
    }
    if (query.group.empty()) {
        return malformed("member \"group\" is missing");
    }
    if (query.body.empty()) {
        return malformed("member \"query\" is missing");
    }
    return query;
}

std::variant<caller_submit, failure> parse_caller_submit(std::string_view body,
                                                         std::string_view key)
{
    if (key.empty()) {
        return failure{errc::key_required, run_state::not_run,
                       "header Idempotency-Key is missing"};
    }
    caller_submit submit;
    submit.key = key;
    auto fault = read_members(body, [&](auto name, auto const& m) {
        return read_submit_member(name, m, submit);
    });
    if (!fault.empty()) {
        return malformed(std::move(fault));
    }
    if (submit.group.empty()) {
        return malformed("member \"group\" is missing");
    }
    if (submit.body.empty()) {
        return malformed("member \"request\" is missing");
    }
    return submit;
}

std::string write_query_answer(query_answer const& answer)
{
    std::string out = R"({"records":)";
    append_array(out, answer.records,
                 [&](record const& r) { append_record(out, r); });
    append_count(out, "total", answer.total);
    append_count(out, "snapshot", answer.snapshot.value);
    out += R"(,"coverage":)";
    append_coverage(out, answer.coverage);
    append_flag(out, "deadline_cut", answer.deadline_cut);
    append_flag(out, "partial", answer.partial);
    append_count(out, "reruns", answer.reruns);
    append_count(out, "hedges", answer.hedges);
    append_count(out, "sub_requests", answer.sub_requests);
    out += '}';
    return out;
}

std::string write_failure(failure const& f)
{
    std::string out = R"({"error":{"code":)";
    append_quoted(out, to_string(f.code));
    out += R"(,"run":)";
    append_quoted(out, to_string(f.run));
    out += R"(,"detail":)";
    append_quoted(out, f.detail);
    out += "}}";
    return out;
}

unsigned http_status(errc code)
{
    switch (code) {
    case errc::ok:
        return 200;
    case errc::malformed_request:
    case errc::key_required:
    case errc::invalid_ticket:
    case errc::invalid_settings:
        return 400;
    case errc::unauthorised:
        return 401;
    case errc::unknown_route:
    case errc::unknown_group:
    case errc::not_found:
        return 404;
    case errc::request_timeout:
        return 408;
    case errc::key_reused:
    case errc::in_progress:
    case errc::conflict:
        return 409;
    case errc::body_too_large:
        return 413;
    case errc::quarantined:
        return 422;
    case errc::header_too_large:
        return 431;
    case errc::over_usage_cap:
        return 429;
    case errc::cancelled:
        return 499;
    case errc::peer_unreachable:
    case errc::peer_protocol:
    case errc::upstream_unreachable:
    case errc::upstream_reset:
    case errc::upstream_failed:
        return 502;
    case errc::no_configuration:
    case errc::overloaded:
    case errc::shutting_down:
    case errc::data_centre_out:
    case errc::coverage_too_low:
    case errc::version_gone:
    case errc::platform_unavailable:
    case errc::upstream_shed:
    case errc::upstream_draining:
        return 503;
    case errc::deadline_exceeded:
        return 504;
    case errc::internal:
        return 500;
    }
    return 500;
}

} // namespace snipemill
