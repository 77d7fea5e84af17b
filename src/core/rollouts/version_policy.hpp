#pragma once

#include "core/forward/upstream_record.hpp"
#include "core/rollouts/rollout_entry.hpp"
#include "core/rollouts/rollout_messages.hpp"
#include "core/rollouts/version_share.hpp"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipemill {

struct version_policy_settings
{
    // Time after an instruction for which its share holds: several instructions
    // may be lost. Well below the time in which a bad version has to be out of
    // use (5 s), because the host may have missed a rollback.
    duration lease = from_ms(1500);
};

// Decides which versions of a service's upstreams this host uses, from the
// entries of the store and the instructions of the deciding host. Failure: a
// host loses touch with the deciding host and the store, and would go on
// sending to a version that has been rolled back.
class version_policy
{
public:
    explicit version_policy(version_policy_settings const& settings = {})
        : settings_(settings)
    {}

    // What the store lists. `complete`: all upstreams and entries are known;
    // until then the versions in use are learned anew each time.
    void update(std::vector<upstream_record> const& upstreams,
                std::vector<rollout_entry> const& entries, bool complete);
    // Returns whether the instruction has been accepted: it is not outdated.
    bool on_instruction(rollout_instruction const& it, time_point now);

    version_shares shares(time_point now) const;
    // End of the earliest lease after now, when shares() changes.
    std::optional<time_point> next_change(time_point now) const;
    // Version that the service used before its current order.
    std::string in_use(std::string const& service) const;
    // Name of the host that decides on the service's rollout, as far as known;
    // empty: none.
    std::string decider(std::string const& service) const;

private:
    struct held_instruction
    {
        rollout_instruction value;
        time_point until{};
        // The host was told to move all requests to the target.
        bool moved = false;
        // The target was rolled back; it never gets requests again by an
        // instruction.
        bool rolled_back = false;
    };

    void learn(std::vector<upstream_record> const& upstreams);
    void apply_status(rollout_entry const& entry);
    bool is_ended(std::string const& service) const;
    version_share share_of(std::string const& service, std::string const& used,
                           time_point now) const;

    version_policy_settings settings_;
    std::map<std::string, std::string> in_use_; // by service
    bool complete_ = false;
    std::unordered_map<std::string, rollout_entry> entries_; // by service
    std::unordered_map<std::string, held_instruction> instructions_;
};

} // namespace snipemill
