#pragma once

#include "adapters/net/receive_budget.hpp"

#include <cstdint>
#include <memory>

namespace snipemill {

// Budgets for what the peers of a host make it hold. Together they get half of
// the memory of the host; the program, its tables and decoded documents need
// the rest. The budgets of one thread share a limit, and each kind of peer has
// a reserved part of it, so that a crowd of callers does not take the memory
// that responses and readiness checks need. When the memory is not known, each
// kind has a constant limit of its own.
class host_memory
{
public:
    explicit host_memory(std::uint64_t memory); // bytes; 0: not known

    // Of the traffic thread. Relayed queries are those that this host sends to
    // relays; relay queries are those that it runs for other hosts.
    std::shared_ptr<receive_budget> callers;
    std::shared_ptr<receive_budget> readiness;
    std::shared_ptr<receive_budget> upstreams;
    std::shared_ptr<receive_budget> relay_queries;
    std::shared_ptr<receive_budget> relayed_queries;
    // Of the control thread.
    std::shared_ptr<receive_budget> store;
    std::shared_ptr<receive_budget> metrics;
};

} // namespace snipemill
