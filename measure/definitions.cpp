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
        {"config", "time until tickets are in force, operators racing",
         run_config},
        {"outage", "service and configuration while the platform is down",
         run_outage},
        {"platform", "platform calls of idle fleets by number of hosts",
         run_platform},
        {"control", "control cost of idle hosts by size of the fleet",
         run_control},
        {"traffic", "processor time per sub-request at a root and an owner",
         run_traffic},
        {"slopes", "times of snipemill-perf and their growth with size",
         run_slopes},
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
        {"submit", "keyed requests and resends while everything fails",
         run_submit},
        {"crash", "a query that crashes upstreams, and the first step's cost",
         run_crash},
    };
    return list;
}

} // namespace measure
