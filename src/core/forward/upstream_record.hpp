#pragma once

#include "core/base/time.hpp"

#include <cstdint>
#include <string>

namespace snipemill {

// What an upstream says of itself in the platform's store.
struct upstream_record
{
    std::string instance; // names one upstream; a restart may keep it
    std::string service;
    std::string ip;
    std::uint16_t port = 0;
    std::string data_centre;
    std::uint32_t slots = 1;     // requests that it runs at a time
    bool draining = false;       // leaves; takes no new requests
    duration cold_left{};        // time until it is warm
    std::int64_t started_ms = 0; // wall clock of its start; 0: not known

    friend bool operator==(upstream_record const&,
                           upstream_record const&) = default;
};

} // namespace snipemill
