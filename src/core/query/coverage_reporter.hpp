#pragma once

#include "core/query/attempt_table.hpp"
#include "core/query/coverage_counter.hpp"
#include "core/query/index_catalogue.hpp"
#include "core/query/route_table.hpp"

namespace snipemill {

// Builds the report on the coverage of an answer. Positions are those of the
// routes, which the catalogue must have adopted.
class coverage_reporter
{
public:
    struct input
    {
        coverage_counter const& counter;
        route_table const& routes;
        index_catalogue const& catalogue;
        topology_index group = 0;
        index_version version;
    };

    // Missing partitions by the service that holds them, as far as it is
    // known.
    static std::vector<missing_partitions> missing(input const& in);
};

} // namespace snipemill
