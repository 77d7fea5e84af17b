#include "adapters/codec/json_text.hpp"

#include <boost/json/basic_parser_impl.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace snipemill {

namespace {

constexpr std::string_view json_space = " \t\r\n";
constexpr std::string_view hex_digits = "0123456789abcdef";

void append_escaped(std::string& out, char c)
{
    auto const code = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
        out += '\\';
        out += c;
    }
    else if (code < 0x20) {
        out += "\\u00";
        out += hex_digits[code >> 4];
        out += hex_digits[code & 15];
    }
    else {
        out += c;
    }
}

// Takes the events of a parser and keeps nothing.
struct syntax_check
{
    using error_code = boost::json::error_code;
    using string_view = boost::json::string_view;

    static constexpr std::size_t max_object_size = SIZE_MAX;
    static constexpr std::size_t max_array_size = SIZE_MAX;
    static constexpr std::size_t max_key_size = SIZE_MAX;
    static constexpr std::size_t max_string_size = SIZE_MAX;

    bool on_document_begin(error_code&) { return true; }
    bool on_document_end(error_code&) { return true; }
    bool on_object_begin(error_code&) { return true; }
    bool on_object_end(std::size_t, error_code&) { return true; }
    bool on_array_begin(error_code&) { return true; }
    bool on_array_end(std::size_t, error_code&) { return true; }
    bool on_key_part(string_view, std::size_t, error_code&) { return true; }
    bool on_key(string_view, std::size_t, error_code&) { return true; }
    bool on_string_part(string_view, std::size_t, error_code&) { return true; }
    bool on_string(string_view, std::size_t, error_code&) { return true; }
    bool on_number_part(string_view, error_code&) { return true; }
    bool on_int64(std::int64_t, string_view, error_code&) { return true; }
    bool on_uint64(std::uint64_t, string_view, error_code&) { return true; }
    bool on_double(double, string_view, error_code&) { return true; }
    bool on_bool(bool, error_code&) { return true; }
    bool on_null(error_code&) { return true; }
    bool on_comment_part(string_view, error_code&) { return true; }
    bool on_comment(string_view, error_code&) { return true; }
};

// Length of the string at the start of the text, with its quotes.
std::size_t string_length(std::string_view text)
{
    std::size_t i = 1;
    while (i < text.size() && text[i] != '"') {
        i += text[i] == '\\' ? 2 : 1;
    }
    return std::min(i + 1, text.size());
}

std::size_t nested_length(std::string_view text)
{
    int depth = 0;
    std::size_t i = 0;
    while (i < text.size()) {
        char const c = text[i];
        if (c == '"') {
            i += string_length(text.substr(i));
            continue;
        }
        ++i;
        if (c == '{' || c == '[') {
            ++depth;
        }
        else if ((c == '}' || c == ']') && --depth == 0) {
            break;
        }
    }
    return i;
}

std::size_t value_length(std::string_view text)
{
    if (text.empty()) {
        return 0;
    }
    if (text.front() == '"') {
        return string_length(text);
    }
    if (text.front() == '{' || text.front() == '[') {
        return nested_length(text);
    }
    return std::min(text.find_first_of(",]} \t\r\n"), text.size());
}

} // namespace

void append_quoted(std::string& out, std::string_view text)
{
    out += '"';
    for (char const c : text) {
        append_escaped(out, c);
    }
    out += '"';
}

void append_number(std::string& out, double number)
{
    assert(std::isfinite(number));
    std::array<char, 32> buf{};
    auto const end =
        std::to_chars(buf.data(), buf.data() + buf.size(), number).ptr;
    out.append(buf.data(), end);
}

std::string compact_json(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    std::size_t begin = 0; // of the run that has not been copied
    std::size_t i = 0;
    while (i < text.size()) {
        char const c = text[i];
        if (c == '"') {
            i += string_length(text.substr(i));
            continue;
        }
        if (c == ' ' || c == '\n' || c == '\r' || c == '\t') {
            out.append(text.substr(begin, i - begin));
            begin = i + 1;
        }
        ++i;
    }
    out.append(text.substr(begin));
    return out;
}

bool valid_json(std::string_view text)
{
    boost::json::basic_parser<syntax_check> parser(
        (boost::json::parse_options()));
    boost::json::error_code ec;
    auto const n = parser.write_some(false, text.data(), text.size(), ec);
    return !ec && n == text.size();
}

json_walk::json_walk(std::string_view text) : rest_(text)
{
    skip_space();
    object_ = rest_.starts_with('{');
    rest_.remove_prefix(rest_.empty() ? 0 : 1);
}

json_walk::json_walk(json_walk* parent) : json_walk(parent->rest_)
{
    parent_ = parent;
}

bool json_walk::next()
{
    value();
    skip_space();
    if (rest_.starts_with(',')) {
        rest_.remove_prefix(1);
        skip_space();
    }
    if (rest_.empty() || rest_.front() == '}' || rest_.front() == ']') {
        return end();
    }
    if (object_ && !read_name()) {
        return end();
    }
    taken_ = false;
    return true;
}

bool json_walk::end()
{
    rest_.remove_prefix(rest_.empty() ? 0 : 1);
    if (parent_ != nullptr) {
        parent_->rest_ = rest_;
        parent_->taken_ = true;
        parent_ = nullptr;
    }
    return false;
}

bool json_walk::read_name()
{
    auto const quoted = take_value();
    skip_space();
    if (quoted.size() < 2 || rest_.empty()) {
        return false;
    }
    name_ = quoted.substr(1, quoted.size() - 2);
    rest_.remove_prefix(1); // the colon
    skip_space();
    return true;
}

std::string_view json_walk::value()
{
    if (!taken_) {
        value_ = take_value();
        taken_ = true;
    }
    return value_;
}

void json_walk::skip_space()
{
    auto const n = rest_.find_first_not_of(json_space);
    rest_.remove_prefix(std::min(n, rest_.size()));
}

std::string_view json_walk::take_value()
{
    auto const n = value_length(rest_);
    auto const taken = rest_.substr(0, n);
    rest_.remove_prefix(n);
    return taken;
}

std::optional<double> number_of(std::string_view text)
{
    double number = 0;
    auto const* end = text.data() + text.size();
    auto const [ptr, ec] = std::from_chars(text.data(), end, number);
    if (ec != std::errc() || ptr != end || !std::isfinite(number)) {
        return std::nullopt;
    }
    return number;
}

bool valid_utf8(std::string_view bytes)
{
    std::size_t i = 0;
    while (i < bytes.size()) {
        auto const lead = static_cast<unsigned char>(bytes[i]);
        std::size_t const n = lead < 0x80           ? 1
                              : (lead >> 5) == 0x06 ? 2
                              : (lead >> 4) == 0x0e ? 3
                              : (lead >> 3) == 0x1e ? 4
                                                    : 0;
        if (n == 0 || i + n > bytes.size()) {
            return false;
        }
        constexpr std::array<std::uint32_t, 5> least{0, 0, 0x80, 0x800,
                                                     0x10000};
        std::uint32_t code = n == 1 ? lead : lead & (0x7fU >> n);
        for (std::size_t k = 1; k < n; ++k) {
            auto const next = static_cast<unsigned char>(bytes[i + k]);
            if ((next & 0xc0U) != 0x80) {
                return false;
            }
            code = (code << 6) | (next & 0x3fU);
        }
        if (code < least[n] || code > 0x10ffff ||
            (code >= 0xd800 && code <= 0xdfff)) {
            return false;
        }
        i += n;
    }
    return true;
}

} // namespace snipemill
