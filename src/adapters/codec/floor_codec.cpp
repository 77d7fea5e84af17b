#include "adapters/codec/floor_codec.hpp"

#include "adapters/codec/peer_codec_detail.hpp"

#include <algorithm>

namespace snipemill {

using namespace peer_codec;

std::string encode(floor_message const& message)
{
    call_arena arena;
    auto& out = arena.make<wire::StoreFloor>();
    out.set_revision(message.floor.revision);
    for (auto const it : message.floor.floors) {
        out.add_floors(it);
    }
    out.set_age_us(to_us(message.floor.age));
    out.set_pass_on(message.pass_on);
    return out.SerializeAsString();
}

std::optional<floor_message> decode_floor(std::string_view bytes)
{
    call_arena arena;
    auto const* const it = arena.parse<wire::StoreFloor>(bytes);
    floor_message out;
    if (!it || it->revision() == 0 ||
        it->floors_size() != static_cast<int>(out.floor.floors.size()) ||
        !read_duration(it->age_us(), out.floor.age)) {
        return std::nullopt;
    }
    out.floor.revision = it->revision();
    std::copy(it->floors().begin(), it->floors().end(),
              out.floor.floors.begin());
    out.pass_on = it->pass_on();
    return out;
}

} // namespace snipemill
