#include "adapters/codec/peer_codec.hpp"

#include "fuzz.hpp"

namespace {

using namespace snipemill;

// What is decoded has to be decodable again after it was encoded.
template <class T>
void round_trip(std::optional<stamped<T>> (*decode)(std::string_view),
                std::string_view bytes)
{
    if (auto const m = decode(bytes)) {
        auto const again = decode(encode(m->time, m->message));
        fuzz::require(again.has_value(), "an encoded message is decodable");
    }
}

void probe_round_trip(std::string_view bytes)
{
    constexpr time_point now{from_ms(1'000'000'000)};
    if (auto const m = decode_probe(now, bytes)) {
        auto const again = decode_probe(now, encode(now, *m));
        fuzz::require(again.has_value(), "an encoded probe is decodable");
    }
}

} // namespace

// The first byte selects the message.
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    auto const bytes = fuzz::text_of(data + 1, size - 1);
    switch (data[0] % 11) {
    case 0:
        round_trip(decode_query_batch, bytes);
        break;
    case 1:
        round_trip(decode_query_part, bytes);
        break;
    case 2:
        round_trip(decode_cancel, bytes);
        break;
    case 3:
        round_trip(decode_describe_request, bytes);
        break;
    case 4:
        round_trip(decode_describe_answer, bytes);
        break;
    case 5:
        round_trip(decode_submit_forward, bytes);
        break;
    case 6:
        round_trip(decode_submit_result, bytes);
        break;
    case 7:
        round_trip(decode_config_pull, bytes);
        break;
    case 8:
        round_trip(decode_config_push, bytes);
        break;
    case 9:
        round_trip(decode_handover, bytes);
        break;
    default:
        probe_round_trip(bytes);
        break;
    }
    return 0;
}
