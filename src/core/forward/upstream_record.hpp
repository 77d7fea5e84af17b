#pragma once

#include "core/base/time.hpp"

#include <cstdint>
#include <string>

namespace snipemill {

// Entry of an upstream in the platform's store, written by the upstream.
struct upstream_record
{
    std::string instance; // identifies an upstream; may be kept across restarts
    std::string service;
    std::string ip;
    std::uint16_t port = 0;
    std::string data_centre;
    std::uint32_t slots = 1;     // requests that the upstream runs at a time
    bool draining = false;       // shutting down; takes no new requests
    duration cold_left{};        // time until the upstream is warm
    std::int64_t started_ms = 0; // wall clock at start; 0: unknown
    std::string version{};       // of the service; empty: none stated

    friend bool operator==(upstream_record const&,
                           upstream_record const&) = default;
};

} // namespace snipemill
