#include "core/query/record_order.hpp"

#include <tuple>

namespace snipemill {

bool ordered_before(record const& a, record const& b, sort_order order)
{
    if (a.rank != b.rank) {
        return order == sort_order::ascending ? a.rank < b.rank
                                              : a.rank > b.rank;
    }
    return std::tie(a.key, a.partition) < std::tie(b.key, b.partition);
}

} // namespace snipemill
