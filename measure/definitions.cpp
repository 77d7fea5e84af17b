#include "measure/measure.hpp"

namespace measure {

std::vector<definition> const& definitions()
{
    static std::vector<definition> const list{
        {"tail", "query latency with stragglers, plain and hedged", run_tail},
        {"repartition", "answers while versions roll over every second",
         run_repartition},
        {"overhead", "latency against direct calls of the same upstreams",
         run_overhead},
        {"submit", "keyed requests and resends while everything fails",
         run_submit},
        {"crash", "a query that crashes upstreams, and the first step's cost",
         run_crash},
    };
    return list;
}

} // namespace measure
