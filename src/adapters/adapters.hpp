#pragma once

// Public header of the adapters library.

#include "adapters/codec/caller_json.hpp"
#include "adapters/codec/config_json.hpp"
#include "adapters/codec/peer_codec.hpp"
#include "adapters/codec/upstream_json.hpp"
#include "adapters/http/http_client.hpp"
#include "adapters/http/http_server.hpp"
#include "adapters/peer/peer_link.hpp"
#include "adapters/peer/probe_socket.hpp"
#include "adapters/platform/platform_client.hpp"
#include "adapters/upstream/upstream_pool.hpp"
