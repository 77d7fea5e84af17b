#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace snipemill {

// Merges parts that hold records of a fixed size in any order: returns the
// greatest `top` records, greatest first, compared byte by byte. Equal records
// all count. Bytes at the end of a part that do not fill a record are left out.
std::string merge_shard_answers(std::vector<std::string_view> const& answers,
                                std::size_t record_bytes, std::size_t top);

} // namespace snipemill
