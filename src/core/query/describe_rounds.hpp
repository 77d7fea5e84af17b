#pragma once

#include "core/query/query_shared.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipemill {

// Asks owners which versions their upstreams hold. At most one round per
// group is under way.
class describe_rounds
{
public:
    enum class scope : std::uint8_t
    {
        all,  // every upstream that can serve
        stale // only those not heard of for a while
    };

    // Starts a round for a group unless one is under way; returns whether one
    // is under way now.
    bool start(query_shared& shared, time_point now, topology_index group,
               scope which, query_actions& out);

    // Whether this request is open at this host.
    bool open(request_id id, host_id const& at) const;

    // Ends a request. Returns the group's name when its round is complete.
    std::optional<std::string> end(request_id id);

private:
    struct round
    {
        std::vector<request_id> open;
        time_point started{};
    };

    struct pending
    {
        std::string group;
        host_id to;
    };

    void give_up(round& r);

    std::unordered_map<std::string, round> rounds_; // by group
    std::unordered_map<request_id, pending> requests_;
};

} // namespace snipemill
