#pragma once

#include "adapters/codec/peer_codec.hpp"
#include "core/base/name_table.hpp"
#include "peer.pb.h"

#include <google/protobuf/arena.h>

#include <array>
#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace snipemill::peer_codec {

inline constexpr std::size_t arena_buffer_bytes = 8 * 1024;
// Longest names, keys and addresses that a peer may send.
inline constexpr std::size_t max_name_bytes = 1024;
// Longest duration that a peer may send: a day.
inline constexpr duration max_duration = from_ms(86'400'000);

// Arena for the messages of one call; small messages need no heap memory.
class call_arena
{
public:
    call_arena() : arena_(buf_.data(), buf_.size()) {}

    template <class T>
    T& make()
    {
        return *google::protobuf::Arena::CreateMessage<T>(&arena_);
    }

    // No value when the bytes are not a message of this type.
    template <class T>
    T const* parse(std::string_view bytes)
    {
        if (bytes.size() > std::numeric_limits<int>::max()) {
            return nullptr;
        }
        auto& m = make<T>();
        bool const ok =
            m.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
        return ok ? &m : nullptr;
    }

private:
    alignas(8) std::array<char, arena_buffer_bytes> buf_;
    google::protobuf::Arena arena_;
};

template <class T>
void set_time(T& m, hybrid_time time)
{
    auto& it = *m.mutable_time();
    it.set_wall(time.wall);
    it.set_counter(time.counter);
}

template <class T>
hybrid_time time_of(T const& m)
{
    return {m.time().wall(), m.time().counter()};
}

inline std::uint64_t to_us(duration d)
{
    return d.count() < 0 ? 0 : static_cast<std::uint64_t>(d.count());
}

inline bool read_duration(std::uint64_t us, duration& out)
{
    if (us > static_cast<std::uint64_t>(max_duration.count())) {
        return false;
    }
    out = duration(static_cast<duration::rep>(us));
    return true;
}

template <class Enum, std::size_t N>
bool read_enum(name_table<Enum, N> const& names, std::uint32_t v, Enum& out)
{
    for (auto const& it : names) {
        if (static_cast<std::uint32_t>(it.first) == v) {
            out = it.first;
            return true;
        }
    }
    return false;
}

template <class Enum>
std::uint32_t enum_number(Enum v)
{
    return static_cast<std::uint32_t>(v);
}

inline bool read_name(std::string const& v, std::string& out)
{
    if (v.size() > max_name_bytes) {
        return false;
    }
    out = v;
    return true;
}

inline bool read_port(std::uint32_t v, std::uint16_t& out)
{
    if (v > std::numeric_limits<std::uint16_t>::max()) {
        return false;
    }
    out = static_cast<std::uint16_t>(v);
    return true;
}

template <class Repeated>
void set_upstreams(Repeated& out, std::vector<upstream_id> const& ids)
{
    out.Reserve(static_cast<int>(ids.size()));
    for (auto const id : ids) {
        out.AddAlreadyReserved(id.value);
    }
}

template <class Repeated>
std::vector<upstream_id> upstreams_of(Repeated const& ids)
{
    std::vector<upstream_id> out;
    out.reserve(static_cast<std::size_t>(ids.size()));
    for (auto const id : ids) {
        out.emplace_back(id);
    }
    return out;
}

// Appends an item for each element by read(element, item); false at the first
// that is refused.
template <class Repeated, class T, class Read>
bool read_items(Repeated const& items, std::vector<T>& out, Read read)
{
    out.reserve(static_cast<std::size_t>(items.size()));
    for (auto const& it : items) {
        if (!read(it, out.emplace_back())) {
            return false;
        }
    }
    return true;
}

void write_member(wire::Member& out, member_info const& m);
bool read_member(wire::Member const& m, member_info& out);

} // namespace snipemill::peer_codec
