#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace snipemill {

// Merges shard answers that consist of unordered records of a fixed size:
// returns the greatest `top` records, greatest first, compared byte by byte.
// Duplicates are kept. An incomplete record at the end of an answer is ignored.
std::string merge_shard_answers(std::vector<std::string_view> const& answers,
                                std::size_t record_bytes, std::size_t top);

} // namespace snipemill
