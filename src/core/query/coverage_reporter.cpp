#include "core/query/coverage_reporter.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

namespace {

// Removes from open the partitions that some replica of the service holds and
// returns them.
std::vector<partition_id> take_held(coverage_reporter::input const& in,
                                    topology_service const& service,
                                    std::vector<partition_id>& open)
{
    std::vector<partition_id> taken;
    for (auto const u : service.upstreams) {
        auto const* held = in.catalogue.upstream(u).find(in.version);
        if (held == nullptr) {
            continue;
        }
        std::erase_if(open, [&](partition_id p) {
            auto const here = std::binary_search(held->partitions.begin(),
                                                 held->partitions.end(), p);
            if (here) {
                taken.push_back(p);
            }
            return here;
        });
    }
    std::sort(taken.begin(), taken.end());
    return taken;
}

} // namespace

std::vector<missing_partitions> coverage_reporter::missing(input const& in)
{
    std::vector<missing_partitions> out;
    auto open = in.counter.missing();
    auto const& config = in.routes.config();
    for (auto const s : config.groups()[in.group].services) {
        if (open.empty()) {
            break;
        }
        auto const& service = config.services()[s];
        auto taken = take_held(in, service, open);
        if (!taken.empty()) {
            out.push_back({.service = service.object.name,
                           .partitions = std::move(taken)});
        }
    }
    if (!open.empty()) {
        out.push_back({.service = {}, .partitions = std::move(open)});
    }
    return out;
}

} // namespace snipemill
