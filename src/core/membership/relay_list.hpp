#pragma once

#include "core/membership/member_list.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace snipemill {

// An indirect probe that this host carries out for another one.
struct relayed_probe
{
    std::uint64_t sequence = 0; // of this host's own probe
    std::uint64_t asked_sequence = 0;
    host_id target;
    member_seed asker;
    time_point expires{};
};

// Indirect probes under way for other hosts.
class relay_list
{
public:
    bool full() const;
    void add(relayed_probe probe);
    // The probe that this answer ends.
    std::optional<relayed_probe> take(std::uint64_t sequence,
                                      host_id const& from);
    void expire(time_point now);
    void clear() { probes_.clear(); }

private:
    std::vector<relayed_probe> probes_;
};

} // namespace snipemill
