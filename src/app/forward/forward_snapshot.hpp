#pragma once

#include "core/accounts/account_index.hpp"
#include "core/forward/crash_guard.hpp"
#include "core/forward/gather_index.hpp"
#include "core/forward/manifest.hpp"
#include "core/forward/relay_plan.hpp"
#include "core/forward/route_index.hpp"
#include "core/forward/upstream_record.hpp"
#include "core/rollouts/version_share.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipemill {

// A manifest with the indexes of its routes.
struct indexed_manifest
{
    // hash_seed: of the account index.
    explicit indexed_manifest(std::shared_ptr<manifest const> from,
                              std::uint64_t hash_seed = 0)
        : state(std::move(from)), routes(*state), gathers(*state)
    {
        if (state->accounts) {
            accounts.emplace(*state->accounts, hash_seed);
        }
    }

    std::shared_ptr<manifest const> state;
    route_index routes;
    gather_index gathers;
    std::optional<account_index> accounts; // if the manifest has any
};

// State that the control thread publishes to the traffic thread.
struct forward_snapshot
{
    // Null before the first manifest.
    std::shared_ptr<indexed_manifest const> current;
    std::vector<upstream_record> upstreams;
    std::set<std::string> evacuated; // data centres
    std::vector<fleet_host> hosts;   // of the fleet; empty until listed
    std::vector<crash_entry> crashes;
    // Other hosts keep this host in their lists until then.
    time_point listed_until{};
    bool complete = false; // has a manifest, upstreams, evacuations
    std::uint64_t upstreams_revision = 0;
    version_shares versions; // empty: versions do not matter
    // Target versions of the services that are rolled out.
    std::map<std::string, std::string> rollout_targets;
};

} // namespace snipemill
