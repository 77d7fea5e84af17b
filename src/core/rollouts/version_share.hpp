#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace snipemill {

// What upstreams of a version get.
enum class version_role : std::uint8_t
{
    serving,  // requests as usual
    canary,   // the share of a version that is being rolled out
    fallback, // requests that no serving upstream can take
    unused    // nothing
};

// How the requests to a service are divided among versions of its upstreams.
struct version_share
{
    std::string serving;
    std::string canary;
    bool has_canary = false;
    double share = 0; // of the canary version
    // The canary version gets requests only when no serving upstream is usable.
    bool fallback = false;

    version_role role_of(std::string const& version) const
    {
        if (version == serving) {
            return version_role::serving;
        }
        if (!has_canary || version != canary) {
            return version_role::unused;
        }
        return fallback ? version_role::fallback : version_role::canary;
    }

    friend bool operator==(version_share const&,
                           version_share const&) = default;
};

// By service. A service without an entry uses all its upstreams.
using version_shares = std::unordered_map<std::string, version_share>;

} // namespace snipemill
