// Minimal codec for the tests of the probe socket: only the sequence number.

#include "adapters/codec/peer_codec.hpp"

#include <charconv>

namespace snipemill {

std::string encode(time_point /*now*/, probe_packet const& m)
{
    return "seq " + std::to_string(m.message.sequence);
}

std::optional<probe_packet> decode_probe(time_point /*now*/, std::string_view b)
{
    if (!b.starts_with("seq ")) {
        return std::nullopt;
    }
    probe_packet out;
    std::from_chars(b.data() + 4, b.data() + b.size(), out.message.sequence);
    return out;
}

} // namespace snipemill
