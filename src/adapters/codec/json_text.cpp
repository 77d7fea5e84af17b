#include "adapters/codec/json_text.hpp"

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
    std::size_t i = 0;
    while (i < text.size()) {
        std::size_t n = 1;
        if (text[i] == '"') {
            n = string_length(text.substr(i));
            out.append(text.substr(i, n));
        }
        else if (json_space.find(text[i]) == std::string_view::npos) {
            out += text[i];
        }
        i += n;
    }
    return out;
}

json_walk::json_walk(std::string_view text) : rest_(text)
{
    skip_space();
    if (rest_.empty()) {
        return;
    }
    object_ = rest_.front() == '{';
    rest_.remove_prefix(1);
}

bool json_walk::next()
{
    skip_space();
    if (!rest_.empty() && rest_.front() == ',') {
        rest_.remove_prefix(1);
        skip_space();
    }
    if (rest_.empty() || rest_.front() == '}' || rest_.front() == ']') {
        return false;
    }
    if (object_) {
        auto const quoted = take_value();
        name_ = quoted.substr(1, quoted.size() - 2);
        skip_space();
        rest_.remove_prefix(1); // the colon
        skip_space();
    }
    value_ = take_value();
    return true;
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
