#pragma once

#include "core/events/event_ring.hpp"

#include <string>

namespace snipemill {

// Takes events of all subsystems of a process; callable from any thread.
class event_sink
{
public:
    virtual ~event_sink() = default;

    virtual void report(event_kind kind, std::string subject,
                        std::string detail) = 0;
};

} // namespace snipemill
