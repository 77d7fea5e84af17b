#pragma once

// Public header of the ports library: interfaces between the core and the
// adapters.

#include "ports/event_sink.hpp"
#include "ports/peer_port.hpp"
#include "ports/platform_port.hpp"
#include "ports/upstream_port.hpp"
