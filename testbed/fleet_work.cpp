#include "testbed/fleet_work.hpp"

#include <algorithm>
#include <stdexcept>

namespace testbed {

std::vector<load_target> ready_targets(fleet& f)
{
    std::vector<load_target> out;
    for (std::size_t i = 0; i < f.hosts().size(); ++i) {
        if (f.ready(i)) {
            out.push_back({.port = f.hosts()[i].caller_port});
        }
    }
    return out;
}

std::vector<load_target> targets_outside(fleet& f,
                                         std::string const& data_centre)
{
    std::vector<load_target> out;
    for (auto const& it : f.hosts()) {
        if (it.data_centre != data_centre) {
            out.push_back({.port = it.caller_port});
        }
    }
    return out;
}

std::int64_t upstream_counter(fleet& f, std::size_t upstream, char const* name)
{
    auto const all = f.upstream_counters(upstream);
    if (!all) {
        throw std::runtime_error("upstream " + std::to_string(upstream) +
                                 " gives no counters");
    }
    return all->at(name).to_number<std::int64_t>();
}

bool all_serve(fleet& f, std::vector<std::size_t> const& upstreams,
               std::int64_t after)
{
    return wait_until([&] {
        return std::all_of(
            upstreams.begin(), upstreams.end(), [&](std::size_t i) {
                return upstream_counter(f, i, "last_request_ms") > after;
            });
    });
}

} // namespace testbed
