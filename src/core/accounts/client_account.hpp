#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipemill {

// Limit of the requests of a client account, over all hosts together.
struct usage_cap
{
    double rate = 0;  // requests/s; 0: no limit
    double burst = 0; // requests that may come at once besides

    bool limited() const { return rate > 0; }
    friend bool operator==(usage_cap const&, usage_cap const&) = default;
};

// A customer whose callers identify themselves by a key.
struct client_account
{
    std::string name;
    // Secrets. They are never logged and never leave the host.
    std::vector<std::string> keys;
    // Overrides the priority of routes; 0 is the highest.
    std::optional<std::uint32_t> priority;
    usage_cap cap;
};

} // namespace snipemill
