#pragma once

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace snipemill {

// Splits the text of a JSON object or array into the texts of its members or
// elements, without decoding them and without recursion. A value that a parser
// rejects, because it is nested too deeply, out of range or not UTF-8, then
// does not spoil its neighbours. No value when brackets or quotes do not match.
// Names are as written, without the quotes.
using json_member = std::pair<std::string_view, std::string_view>;
std::optional<std::vector<json_member>> split_json_object(std::string_view in);
std::optional<std::vector<std::string_view>>
split_json_array(std::string_view in);

// The text of the member with this name; empty when there is none.
std::string_view find_member(std::vector<json_member> const& in,
                             std::string_view name);

} // namespace snipemill
