#pragma once

#include "adapters/settings/host_settings.hpp"
#include "core/accounts/usage_tolerance.hpp"
#include "core/forward/retry_budget.hpp"
#include "core/rollouts/rollout_bounds.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace snipemill {

struct listen_address
{
    std::string ip;
    std::uint16_t port = 0;

    friend bool operator==(listen_address const&,
                           listen_address const&) = default;
};

// Everything that one forwarding host learns from its settings file.
struct forward_settings
{
    std::string name;
    std::string data_centre;
    listen_address callers;
    listen_address readiness;
    listen_address metrics;
    // Where queries of other hosts arrive; without it this host runs none.
    std::optional<listen_address> relay;
    double cores = 1; // processor share of this host
    // Memory in bytes above which this host is killed; 0: not known.
    std::uint64_t memory = 0;
    listen_address store;
    // Time for which the store keeps the history of changes.
    duration store_history = from_ms(20'000);
    retry_budget_settings retry_budget;
    // Extra sends to a service in a window that the fleet may make besides the
    // ratio. The default leaves 3 to each of 8 hosts.
    double retry_slack = 48;
    // Hosts that are assumed to share the connections of an upstream.
    std::uint32_t hosts = 8;
    // Without a value the usage caps of accounts are not enforced.
    std::optional<usage_tolerance> usage_caps;
    // Without a value rollouts are not carried out.
    std::optional<rollout_bounds> rollouts;
    // Places requests by expected finish at upstreams that report their speed.
    bool expected_finish = false;
    duration leave_within = from_ms(3000);  // upstreams that leave get no work
    duration change_within = from_ms(3000); // manifests are in force
    duration evacuate_within = from_ms(5000);
    duration stop_within = from_ms(6000); // after SIGTERM the host is killed
    // Interval at which upstreams report their state to the store.
    duration report_interval = from_ms(1200);

    // Time within which every change in the store is in force at all hosts.
    duration shortest_bound() const
    {
        return std::min({change_within, leave_within, evacuate_within});
    }

    friend bool operator==(forward_settings const&,
                           forward_settings const&) = default;
};

using forward_settings_result =
    std::variant<forward_settings, std::vector<settings_fault>>;

// Reads and checks a settings file as a whole; reports every fault found.
forward_settings_result parse_forward_settings(std::string_view text);

// Reads the file. A file that cannot be read is reported as a fault.
forward_settings_result load_forward_settings(std::string const& path);

} // namespace snipemill
