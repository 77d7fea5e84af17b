#include "adapters/forward/forward_text.hpp"

#include "adapters/http/error_body.hpp"
#include "core/base/overloaded.hpp"
#include "core/forward/request_fingerprint.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <utility>

namespace snipemill {

namespace {

// Headers that are not forwarded: those that apply to one connection, and
// Content-Length, which is set from the size of the forwarded body.
constexpr std::array<std::string_view, 10> hop_by_hop_headers{
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length"};

constexpr unsigned unauthorised = 401;
constexpr unsigned service_unavailable = 503;

constexpr char const* authorization = "authorization";

// Longer times do not fit into a duration.
constexpr double max_retry_after_s = 86'400;

// Speed that upstreams report when work takes as long as usual.
constexpr double usual_speed = 100;

// Reads a finite number that is not negative.
std::optional<double> read_decimal(std::string_view text)
{
    double out = 0;
    auto const* const end = text.data() + text.size();
    auto const [last, ec] = std::from_chars(text.data(), end, out);
    if (text.empty() || ec != std::errc() || last != end ||
        !std::isfinite(out) || out < 0) {
        return std::nullopt;
    }
    return out;
}

bool list_contains(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        auto const comma = list.find(',');
        auto item = list.substr(0, comma);
        list = comma == std::string_view::npos ? std::string_view()
                                               : list.substr(comma + 1);
        while (!item.empty() && item.front() == ' ') {
            item.remove_prefix(1);
        }
        while (!item.empty() && item.back() == ' ') {
            item.remove_suffix(1);
        }
        if (std::equal(item.begin(), item.end(), name.begin(), name.end(),
                       [](unsigned char a, unsigned char b) {
                           return std::tolower(a) == b;
                       })) {
            return true;
        }
    }
    return false;
}

bool is_hop_by_hop(std::string_view name, std::string_view connection)
{
    return std::find(hop_by_hop_headers.begin(), hop_by_hop_headers.end(),
                     name) != hop_by_hop_headers.end() ||
           (!connection.empty() && list_contains(connection, name));
}

std::string_view header_value(header_list const& headers, std::string_view name)
{
    for (auto const& [key, value] : headers) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

bool has_header(header_list const& headers, std::string_view name)
{
    return std::any_of(headers.begin(), headers.end(),
                       [&](auto const& it) { return it.first == name; });
}

// Formats a Retry-After value in seconds with three decimals. Callers of the
// platform accept fractions of seconds.
std::string seconds_text(duration d)
{
    std::array<char, 32> buf{};
    auto const n =
        std::snprintf(buf.data(), buf.size(), "%.3f", to_ms(d) / 1000);
    return {buf.data(), static_cast<std::size_t>(n)};
}

// What tells callers apart in a fingerprint, which leaves the host: never a
// key of an account.
std::string_view caller_text(http_request const& from,
                             caller_identity const& caller)
{
    if (!caller.accounts_in_force) {
        return from.header(authorization);
    }
    return caller.account ? std::string_view(caller.account->name)
                          : std::string_view();
}

http_response write_error_answer(error_answer const& from)
{
    http_response out{.status = from.status,
                      .body = write_error_body(from.reason)};
    if (from.status == unauthorised) {
        out.headers.emplace_back("WWW-Authenticate", "Bearer");
    }
    if (from.retry_after > duration::zero()) {
        out.headers.emplace_back("Retry-After", seconds_text(from.retry_after));
    }
    return out;
}

http_response write_merged(merged_answer&& from, forward_headers const& names)
{
    http_response out{.content_type = "application/octet-stream",
                      .body = std::move(from.body)};
    std::string stamps;
    for (auto const& it : from.stamps) {
        stamps += stamps.empty() ? "" : ", ";
        stamps += it;
    }
    out.headers.emplace_back(names.shard_stamps, std::move(stamps));
    out.headers.emplace_back(names.missing_shards,
                             std::to_string(from.missing));
    return out;
}

} // namespace

forward_request make_forward_request(http_request&& from,
                                     forward_headers const& names,
                                     caller_identity const& caller)
{
    auto const connection = std::string(from.header("connection"));
    auto& headers = from.headers;
    auto const print = fingerprint_of({.method = from.method,
                                       .host = from.header("host"),
                                       .target = from.target,
                                       .caller = caller_text(from, caller),
                                       .body = from.body});
    forward_request out{.id = from.header(names.request_id),
                        .method = from.method,
                        .target = from.target,
                        .body = std::move(from.body),
                        .print = print,
                        .account = caller.account ? caller.account->name : ""};
    out.text.reserve(256);
    out.text.append(from.method).append(" ").append(from.target);
    out.text.append(" HTTP/1.1\r\n");
    for (auto const& [name, value] : headers) {
        if (name == names.time_left || name == names.expected_instance ||
            name == "expect" || is_hop_by_hop(name, connection)) {
            continue;
        }
        // With accounts this host alone names the account, and the key stays
        // here.
        if (caller.accounts_in_force &&
            (name == names.account || name == authorization)) {
            continue;
        }
        out.text.append(name).append(": ").append(value).append("\r\n");
    }
    if (caller.account) {
        out.text.append(names.account).append(": ");
        out.text.append(caller.account->name).append("\r\n");
    }
    bool const bodyless = out.method == "GET" || out.method == "HEAD";
    if (!out.body.empty() || !bodyless) {
        out.text += "content-length: " + std::to_string(out.body.size());
        out.text += "\r\n";
    }
    return out;
}

std::string write_upstream_request(forward_request const& request,
                                   forward_headers const& names,
                                   duration time_left,
                                   std::string const& instance)
{
    auto const ms =
        std::max<std::int64_t>(1, static_cast<std::int64_t>(to_ms(time_left)));
    std::string out;
    out.reserve(request.text.size() + request.body.size() + 128);
    out.append(request.text);
    out.append(names.time_left).append(": ").append(std::to_string(ms));
    out.append("\r\n").append(names.expected_instance).append(": ");
    out.append(instance).append("\r\n\r\n").append(request.body);
    return out;
}

std::optional<reported_load> read_load(std::string_view text)
{
    constexpr std::size_t required = 3;
    std::array<std::uint32_t, 4> fields{};
    auto const* at = text.data();
    auto const* const end = text.data() + text.size();
    std::size_t n = 0;
    while (n < fields.size()) {
        auto const [next, ec] = std::from_chars(at, end, fields[n]);
        if (ec != std::errc() || (next != end && *next != ',')) {
            return std::nullopt;
        }
        ++n;
        if (next == end) {
            break;
        }
        at = next + 1;
    }
    if (n < required) {
        return std::nullopt;
    }
    reported_load out{
        .running = fields[0], .waiting = fields[1], .slots = fields[2]};
    if (n > required) {
        if (fields[3] == 0) {
            return std::nullopt; // work that takes no time
        }
        out.speed = fields[3] / usual_speed;
    }
    return out;
}

upstream_signals read_signals(unsigned status, header_list const& headers,
                              forward_headers const& names)
{
    auto const load = read_load(header_value(headers, names.load));
    upstream_signals out{
        .load = load,
        .malformed_load = !load && has_header(headers, names.load),
        .rate_limit = read_decimal(header_value(headers, names.rate_limit)),
        .leaving = header_value(headers, names.leaving) == "1"};
    if (status == service_unavailable) {
        if (auto const s = read_decimal(header_value(headers, "retry-after"))) {
            out.retry_after = std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(std::min(*s, max_retry_after_s)));
        }
    }
    return out;
}

upstream_answer read_upstream_answer(http_response&& from,
                                     forward_headers const& names)
{
    upstream_answer out{.status = from.status, .body = std::move(from.body)};
    out.stamp = header_value(from.headers, names.stamp);
    out.wrong_instance = from.status == 421;
    out.not_run = has_header(from.headers, names.not_run);
    out.signals = read_signals(from.status, from.headers, names);
    auto const connection =
        std::string(header_value(from.headers, "connection"));
    std::erase_if(from.headers, [&](auto const& it) {
        return is_hop_by_hop(it.first, connection);
    });
    out.headers = std::move(from.headers);
    return out;
}

http_response write_caller_answer(caller_answer&& answer,
                                  forward_headers const& names)
{
    return std::visit(
        overloaded{[](proxied_answer& it) {
                       return http_response{.status = it.answer.status,
                                            .content_type = "",
                                            .headers =
                                                std::move(it.answer.headers),
                                            .body = std::move(it.answer.body)};
                   },
                   [&](merged_answer& it) {
                       return write_merged(std::move(it), names);
                   },
                   [](error_answer& it) { return write_error_answer(it); }},
        answer);
}

} // namespace snipemill
