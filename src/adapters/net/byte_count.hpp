#pragma once

#include <cstdint>

namespace snipemill {

// Bytes of TCP payload, as the process has written and read them.
struct byte_count
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

} // namespace snipemill
