#pragma once

#include "core/rollouts/rollout_messages.hpp"
#include "core/rollouts/version_share.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipemill {

// Counts the requests of this host to services that are being rolled out, by
// route and version. All other services cost one look-up in an empty map.
class version_counters
{
public:
    // Services that are rolled out, and their target versions. The counters of
    // a service start at 0 when its target changes.
    void set_targets(std::map<std::string, std::string> const& targets);

    void on_sent(std::string const& service, std::string const& route,
                 std::string const& version);
    // The exchange ended without an answer that says anything about the
    // version.
    void on_released(std::string const& service, std::string const& route,
                     std::string const& version);
    void on_failed(std::string const& service, std::string const& route,
                   std::string const& version);
    void on_answered(std::string const& service, std::string const& route,
                     std::string const& version, duration latency);

    // Reports without host and share.
    std::vector<rollout_report> reports() const;

private:
    struct counted_service
    {
        std::string target;
        std::map<std::string, route_counts> routes;
    };

    version_counts* find(std::string const& service, std::string const& route,
                         std::string const& version);

    std::unordered_map<std::string, counted_service> services_;
};

} // namespace snipemill
