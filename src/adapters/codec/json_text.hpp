#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace snipemill {

// Helpers that work on JSON text. Numbers and nested values are taken from
// the source text where they have to stay exact: Boost.JSON 1.81 reads some
// doubles with an error in the last digit.

// Appends a quoted JSON string.
void append_quoted(std::string& out, std::string_view text);

// Appends the shortest text that reads back as the same number. The number
// has to be finite.
void append_number(std::string& out, double number);

// Copy of a valid JSON text without white space outside of strings.
std::string compact_json(std::string_view text);

// Walks over the elements of an array or the members of an object in a JSON
// text that is known to be valid.
class json_walk
{
public:
    explicit json_walk(std::string_view text);

    // Goes to the next element or member; false at the end.
    bool next();
    // Name as it stands between the quotes, not unescaped; empty in an array.
    std::string_view name() const { return name_; }
    std::string_view value() const { return value_; }

private:
    void skip_space();
    std::string_view take_value();

    std::string_view rest_;
    std::string_view name_;
    std::string_view value_;
    bool object_ = false;
};

// Value of a number's text; no value when it is not a finite number.
std::optional<double> number_of(std::string_view text);

// Whether the bytes are well-formed UTF-8.
bool valid_utf8(std::string_view bytes);

} // namespace snipemill
