#include "core/rollouts/version_counters.hpp"

namespace snipemill {

void version_counters::set_targets(
    std::map<std::string, std::string> const& targets)
{
    std::erase_if(services_, [&](auto const& it) {
        auto const target = targets.find(it.first);
        return target == targets.end() || target->second != it.second.target;
    });
    for (auto const& [service, target] : targets) {
        services_.try_emplace(service, counted_service{.target = target});
    }
}

version_counts* version_counters::find(std::string const& service,
                                       std::string const& route,
                                       std::string const& version)
{
    auto const it = services_.find(service);
    if (it == services_.end()) {
        return nullptr;
    }
    auto& counts = it->second.routes[route];
    counts.route = route;
    return version == it->second.target ? &counts.target : &counts.previous;
}

void version_counters::on_sent(std::string const& service,
                               std::string const& route,
                               std::string const& version)
{
    if (auto* const it = find(service, route, version)) {
        ++it->sent;
    }
}

// An exchange may have begun before its service was counted.
void version_counters::on_released(std::string const& service,
                                   std::string const& route,
                                   std::string const& version)
{
    auto* const it = find(service, route, version);
    if (it && it->ended < it->sent) {
        ++it->ended;
    }
}

void version_counters::on_failed(std::string const& service,
                                 std::string const& route,
                                 std::string const& version)
{
    auto* const it = find(service, route, version);
    if (it && it->ended < it->sent) {
        ++it->ended;
        ++it->failed;
    }
}

void version_counters::on_answered(std::string const& service,
                                   std::string const& route,
                                   std::string const& version, duration latency)
{
    auto* const it = find(service, route, version);
    if (it && it->ended < it->sent) {
        ++it->ended;
        ++it->latencies.counts[latency_counts::bucket_of(latency)];
    }
}

std::vector<rollout_report> version_counters::reports() const
{
    std::vector<rollout_report> out;
    for (auto const& [service, it] : services_) {
        rollout_report report{.service = service, .target_version = it.target};
        for (auto const& [route, counts] : it.routes) {
            report.routes.push_back(counts);
        }
        out.push_back(std::move(report));
    }
    return out;
}

} // namespace snipemill
