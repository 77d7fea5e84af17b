#include "app/forward/host_memory.hpp"

#include <cstddef>

namespace snipemill {

namespace {

// Limits when the memory of the host is not known.
constexpr std::size_t unknown_limit = 32 * 1024 * 1024;
constexpr std::size_t unknown_store_limit = 16 * 1024 * 1024;

std::shared_ptr<receive_budget> total(std::size_t limit)
{
    return limit > 0 ? std::make_shared<receive_budget>(limit) : nullptr;
}

// A kind of peer with a reserved part of 1/`divisor` of the parent's limit.
std::shared_ptr<receive_budget>
kind(std::shared_ptr<receive_budget> const& parent, std::size_t divisor,
     std::size_t limit_if_unknown = unknown_limit)
{
    return parent ? std::make_shared<receive_budget>(parent, parent->limit(),
                                                     parent->limit() / divisor)
                  : std::make_shared<receive_budget>(limit_if_unknown);
}

} // namespace

host_memory::host_memory(std::uint64_t memory)
{
    auto const traffic = total(memory / 8 * 3);
    callers = kind(traffic, 4);
    readiness = kind(traffic, 16);
    upstreams = kind(traffic, 4);
    relay_queries = kind(traffic, 8);
    relayed_queries = kind(traffic, 8);
    auto const control = total(memory / 8);
    store = kind(control, 2, unknown_store_limit);
    metrics = kind(control, 16);
}

} // namespace snipemill
