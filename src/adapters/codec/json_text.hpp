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

// Whether the text is one JSON value.
bool valid_json(std::string_view text);

// Walks over the elements of an array or the members of an object in a JSON
// text that is known to be valid. Each byte is looked at once when nested
// values are walked with a walk of their own.
class json_walk
{
public:
    explicit json_walk(std::string_view text);
    // Walks over the current value of the parent; the parent goes on behind it
    // when this walk has reached its end.
    explicit json_walk(json_walk* parent);

    bool of_object() const { return object_; }
    // Goes to the next element or member; false at the end.
    bool next();
    // Name as it stands between the quotes, not unescaped; empty in an array.
    std::string_view name() const { return name_; }
    std::string_view value();
    bool value_is_array() const { return rest_.starts_with('['); }
    bool value_is_object() const { return rest_.starts_with('{'); }

private:
    void skip_space();
    std::string_view take_value();
    bool end();
    bool read_name();

    json_walk* parent_ = nullptr;
    std::string_view rest_; // starts with the current value until it is taken
    std::string_view name_;
    std::string_view value_;
    bool object_ = false;
    bool taken_ = true;
};

// Value of a number's text; no value when it is not a finite number.
std::optional<double> number_of(std::string_view text);

// Whether the bytes are well-formed UTF-8.
bool valid_utf8(std::string_view bytes);

} // namespace snipemill
