#include "adapters/codec/json_slices.hpp"

#include <cstddef>

namespace snipemill {

namespace {

constexpr std::string_view white_space = " \t\r\n";

// Reads tokens from the front of a text.
class json_cursor
{
public:
    explicit json_cursor(std::string_view in) : in_(in) {}

    // Skips the character if it is the next one.
    bool skip(char c)
    {
        skip_space();
        if (in_.empty() || in_.front() != c) {
            return false;
        }
        in_.remove_prefix(1);
        return true;
    }
    bool at_end()
    {
        skip_space();
        return in_.empty();
    }
    // Takes a whole value. Empty when there is none, or when it does not end.
    std::string_view take_value()
    {
        skip_space();
        auto const n = value_size();
        auto const out = in_.substr(0, n);
        in_.remove_prefix(n);
        return out;
    }

private:
    void skip_space()
    {
        auto const n = in_.find_first_not_of(white_space);
        in_.remove_prefix(n == std::string_view::npos ? in_.size() : n);
    }
    // Size of the string at `at`, with its quotes; 0 when it does not end.
    std::size_t string_size(std::size_t at) const
    {
        for (auto i = at + 1; i < in_.size(); ++i) {
            if (in_[i] == '\\') {
                ++i;
            }
            else if (in_[i] == '"') {
                return i + 1 - at;
            }
        }
        return 0;
    }
    std::size_t value_size() const
    {
        if (in_.empty()) {
            return 0;
        }
        if (in_.front() == '"') {
            return string_size(0);
        }
        if (in_.front() != '{' && in_.front() != '[') {
            auto const n = in_.find_first_of(",]} \t\r\n");
            return n == std::string_view::npos ? in_.size() : n;
        }
        std::size_t depth = 0;
        for (std::size_t i = 0; i < in_.size(); ++i) {
            auto const c = in_[i];
            if (c == '"') {
                auto const n = string_size(i);
                if (n == 0) {
                    return 0;
                }
                i += n - 1;
            }
            else if (c == '{' || c == '[') {
                ++depth;
            }
            else if ((c == '}' || c == ']') && --depth == 0) {
                return i + 1;
            }
        }
        return 0;
    }

    std::string_view in_;
};

} // namespace

std::optional<std::vector<json_member>> split_json_object(std::string_view in)
{
    json_cursor cursor(in);
    std::vector<json_member> out;
    if (!cursor.skip('{')) {
        return std::nullopt;
    }
    if (!cursor.skip('}')) {
        do {
            auto const name = cursor.take_value();
            auto const value =
                cursor.skip(':') ? cursor.take_value() : std::string_view();
            if (name.size() < 2 || name.front() != '"' || value.empty()) {
                return std::nullopt;
            }
            out.emplace_back(name.substr(1, name.size() - 2), value);
        } while (cursor.skip(','));
        if (!cursor.skip('}')) {
            return std::nullopt;
        }
    }
    return cursor.at_end() ? std::optional(std::move(out)) : std::nullopt;
}

std::optional<std::vector<std::string_view>>
split_json_array(std::string_view in)
{
    json_cursor cursor(in);
    std::vector<std::string_view> out;
    if (!cursor.skip('[')) {
        return std::nullopt;
    }
    if (!cursor.skip(']')) {
        do {
            out.push_back(cursor.take_value());
            if (out.back().empty()) {
                return std::nullopt;
            }
        } while (cursor.skip(','));
        if (!cursor.skip(']')) {
            return std::nullopt;
        }
    }
    return cursor.at_end() ? std::optional(std::move(out)) : std::nullopt;
}

std::string_view find_member(std::vector<json_member> const& in,
                             std::string_view name)
{
    for (auto const& [key, value] : in) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

} // namespace snipemill
