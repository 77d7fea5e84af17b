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
        {"control", "control cost of idle hosts by size of the fleet",
         run_control},
        {"traffic", "processor time per sub-request at a root and an owner",
         run_traffic},
        {"slopes", "times of snipemill-perf and their growth with size",
         run_slopes},
    };
    return list;
}

} // namespace measure
