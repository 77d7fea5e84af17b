#pragma once

#include <compare>
#include <cstdint>

namespace snipemill {

// Time stamp of a hybrid logical clock: wall time in microseconds and a
// counter that orders events of the same microsecond.
struct hybrid_time
{
    std::uint64_t wall = 0;
    std::uint32_t counter = 0;

    friend auto operator<=>(hybrid_time const&, hybrid_time const&) = default;
};

// Gives stamps that respect cause and effect between hosts whose clocks are
// not synchronised.
class hybrid_clock
{
public:
    // Stamp of a local event or of a message to send.
    hybrid_time tick(std::uint64_t wall);
    // Merges the stamp of a received message. A stamp too far ahead of the
    // wall clock is bounded, so that one wrong clock cannot move all others.
    hybrid_time merge(std::uint64_t wall, hybrid_time received);

    hybrid_time last() const { return last_; }

private:
    hybrid_time last_;
};

} // namespace snipemill
