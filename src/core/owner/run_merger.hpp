#pragma once

#include "core/query/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace snipemill {

// Merges sorted runs of records into one sorted run of at most limit records
// with distinct keys. Keeps its working memory between calls.
class run_merger
{
public:
    // Moves the records that it returns out of the runs.
    std::vector<record> merge(std::vector<std::vector<record>>& runs,
                              sort_order order, std::size_t limit);

private:
    struct cursor
    {
        record* next = nullptr;
        record* end = nullptr;
    };

    void open(std::vector<std::vector<record>>& runs);
    void reset_keys(std::size_t n);
    bool is_new(std::string const& key, std::vector<record> const& merged);

    std::vector<cursor> heap_;
    // Open-addressing table of places in the merged run, plus 1.
    std::vector<std::uint32_t> keys_;
};

} // namespace snipemill
