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
        {"cold", "all upstreams restart cold under load, with and without ramp",
         run_cold},
        {"drain", "queries while data centre, upstream or host leaves",
         run_drain},
        {"limits",
         "slots and connections kept by 7 hosts, with and without "
         "owners' limits",
         run_limits},
        {"owner-loss", "queries and slots when an owner is killed",
         run_owner_loss},
    };
    return list;
}

} // namespace measure
