#pragma once

#include "core/base/strong_id.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace snipemill {

// Fingerprints that one upstream has answered since it was last lost, each
// with the index version. When the upstream is lost while such a request is in
// flight, something else is the cause.
class survived_prints
{
public:
    void on_answer(fingerprint print, index_version version,
                   time_point started);
    // The connection was reset or refused, or the upstream has restarted: what
    // comes back may be another program.
    void on_lost(time_point now);
    // Whether the upstream had answered it before a request that was started
    // at this time.
    bool contains(fingerprint print, index_version version,
                  time_point started) const;

private:
    struct entry
    {
        fingerprint print;
        index_version version;

        friend bool operator==(entry const&, entry const&) = default;
    };

    // The oldest is replaced. A fingerprint that is pushed out counts as
    // unknown until its next answer.
    static constexpr std::size_t max_entries = 64;

    bool find(entry const& wanted) const;

    std::vector<entry> entries_;
    std::size_t next_ = 0; // to be replaced when it is full
    // First loss since the last answer to a request started after a loss.
    std::optional<time_point> lost_at_;
};

} // namespace snipemill
