#include "core/forward/shard_merge.hpp"

#include <algorithm>
#include <cassert>

namespace snipemill {

std::string merge_shard_answers(std::vector<std::string_view> const& answers,
                                std::size_t record_bytes, std::size_t top)
{
    assert(record_bytes > 0);
    std::vector<std::string_view> records;
    for (auto const answer : answers) {
        for (std::size_t at = 0; at + record_bytes <= answer.size();
             at += record_bytes) {
            records.push_back(answer.substr(at, record_bytes));
        }
    }
    auto const n = std::min(top, records.size());
    // string_view compares bytes as unsigned values.
    std::partial_sort(records.begin(),
                      records.begin() + static_cast<std::ptrdiff_t>(n),
                      records.end(), std::greater<>());
    std::string out;
    out.reserve(n * record_bytes);
    for (std::size_t i = 0; i < n; ++i) {
        out.append(records[i]);
    }
    return out;
}

} // namespace snipemill
